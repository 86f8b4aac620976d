package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;

/** Translates between headers on the wire and the product's own terms. */
public interface ForwardDialect {

  /**
   * Reads what a caller says.
   *
   * @param headers the request's headers
   * @return the terms; what cannot be read is empty
   */
  CallerHead callerHead(HttpHeaders headers);

  /**
   * Prepares headers for an endpoint: removes what only this system may set and adds what it sets.
   *
   * @param headers a copy of the caller's headers
   * @param head what the endpoint is told
   */
  void prepare(HttpHeaders headers, EndpointHead head);

  /**
   * Reads what an endpoint says.
   *
   * @param headers the answer's headers
   * @return the terms
   */
  ReplyHead replyHead(HttpHeaders headers);
}
