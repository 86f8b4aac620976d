package org.lentilhinge.resume;

/**
 * The software version that began a stream.
 *
 * @param requestId the id of the request that received the first event
 * @param service the service
 * @param version the version of the endpoint's software
 */
public record StreamOrigin(String requestId, String service, String version) {}
