package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.lentilhinge.forward.ResponseMatch;

/** Finds out to which requests the responses of a kind of peer belong. */
interface ResponseMatcher {

  /** Names a call of this host in its headers, if the peer names calls in its responses. */
  Optional<String> nameCall(HttpHeaders headers);

  /**
   * Returns to which request a response belongs.
   *
   * @param headers the headers of the response
   * @param requestId the id of the request in flight, if it has one
   * @param exclusive whether the connection has carried no other request, and has received no other
   *     response than interim ones
   */
  ResponseMatch match(HttpHeaders headers, Optional<String> requestId, boolean exclusive);
}
