package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.lentilhinge.forward.ResponseMatch;

/** The responses of the store, which names no requests and responds to each once, in order. */
final class OrderedResponseMatcher implements ResponseMatcher {

  @Override
  public Optional<String> nameCall(HttpHeaders headers) {
    return Optional.empty();
  }

  @Override
  public ResponseMatch match(HttpHeaders headers, Optional<String> requestId, boolean exclusive) {
    return ResponseMatch.ORDERED;
  }
}
