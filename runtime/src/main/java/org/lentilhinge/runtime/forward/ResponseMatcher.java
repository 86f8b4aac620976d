package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.lentilhinge.forward.ResponseMatch;

/** Finds out to which requests the responses of a kind of peer belong. */
interface ResponseMatcher {

  /**
   * Returns how a response matches the request in flight.
   *
   * @param response the head of the response
   * @param requestId the id of the request in flight, if it has one
   * @param exclusive whether the connection has carried no other request, and has received no other
   *     response than interim ones
   */
  ResponseMatch match(HttpResponse response, Optional<String> requestId, boolean exclusive);

  /**
   * Indicates whether a response that does not match could be the last one on the connection that
   * the peer sends for the request, so that waiting for another one could be in vain.
   */
  boolean mayBeFinal(HttpResponse response, ResponseMatch match);

  /** Indicates whether the connection may carry another request after a response that matches. */
  boolean mayReuse(HttpResponse response, ResponseMatch match);
}
