package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import org.lentilhinge.forward.ResponseMatch;

/** The responses to the requests of callers, which name their requests. */
final class NamedResponseMatcher implements ResponseMatcher {

  private final HeaderTranslator headerTranslator;

  NamedResponseMatcher(HeaderTranslator headerTranslator) {
    this.headerTranslator = headerTranslator;
  }

  @Override
  public ResponseMatch match(HttpResponse response, Optional<String> requestId, boolean exclusive) {
    return ResponseMatch.of(
        requestId,
        headerTranslator.requestIds(response.headers()),
        response.status().codeClass() == HttpStatusClass.SUCCESS,
        exclusive);
  }

  @Override
  public boolean mayReuse(HttpResponse response, ResponseMatch match) {
    return match == ResponseMatch.NAMED;
  }
}
