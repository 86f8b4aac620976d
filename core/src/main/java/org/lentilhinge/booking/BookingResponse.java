package org.lentilhinge.booking;

/**
 * The response of a service to a call.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, or empty if there is no body
 * @param body the body
 */
public record BookingResponse(int status, String contentType, byte[] body) {}
