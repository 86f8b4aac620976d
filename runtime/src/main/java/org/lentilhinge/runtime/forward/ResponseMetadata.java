package org.lentilhinge.runtime.forward;

import java.util.Optional;
import org.lentilhinge.limit.RequestLimit;

/**
 * The metadata of an endpoint's response, read from its headers.
 *
 * @param notExecuted whether the endpoint states that it did not execute the request
 * @param signed whether the response has the endpoint's signature
 * @param requestId the id of the request to which the response belongs
 * @param requestLimit the request rate that the endpoint accepts; empty if it is malformed
 */
public record ResponseMetadata(
    boolean notExecuted,
    boolean signed,
    Optional<String> requestId,
    Optional<RequestLimit> requestLimit) {}
