package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.limit.RequestLimit;

/**
 * The metadata of an endpoint's response, read from its headers.
 *
 * @param notExecuted whether the endpoint states that it did not execute the request
 * @param signed whether the response has the endpoint's signature
 * @param requestLimit the request rate that the endpoint accepts; empty if it is malformed
 * @param leaving whether the endpoint states that it leaves
 * @param retryAfterMillis the time for which a refusing endpoint wants no request from this host,
 *     in milliseconds; empty if there is none or it is malformed
 * @param malformed the headers of this metadata that could not be read, for the log
 */
public record ResponseMetadata(
    boolean notExecuted,
    boolean signed,
    Optional<RequestLimit> requestLimit,
    boolean leaving,
    OptionalLong retryAfterMillis,
    List<String> malformed) {

  /**
   * Copies the list.
   *
   * @param notExecuted whether the request was not executed
   * @param signed whether the response has a signature
   * @param requestLimit the request rate that the endpoint accepts
   * @param leaving whether the endpoint leaves
   * @param retryAfterMillis the time for which the endpoint wants no request, in milliseconds
   * @param malformed the headers that could not be read
   */
  public ResponseMetadata {
    malformed = List.copyOf(malformed);
  }
}
