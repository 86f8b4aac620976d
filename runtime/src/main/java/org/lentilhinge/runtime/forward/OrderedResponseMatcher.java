package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import org.lentilhinge.forward.ResponseMatch;

/**
 * The responses to calls of the host, which name no calls: they are taken in order until a response
 * too much is seen. Endpoints in trouble repeat refusals, so that none is followed by another call.
 */
final class OrderedResponseMatcher implements ResponseMatcher {

  @Override
  public ResponseMatch match(HttpResponse response, Optional<String> requestId, boolean exclusive) {
    return ResponseMatch.ORDERED;
  }

  @Override
  public boolean mayBeFinal(HttpResponse response, ResponseMatch match) {
    return false;
  }

  @Override
  public boolean mayReuse(HttpResponse response, ResponseMatch match) {
    return response.status().codeClass() == HttpStatusClass.SUCCESS;
  }
}
