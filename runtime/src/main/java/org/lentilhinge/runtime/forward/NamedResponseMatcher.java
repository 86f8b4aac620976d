package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import org.lentilhinge.forward.ResponseMatch;

/** The responses to the requests of callers, which name their requests. */
final class NamedResponseMatcher implements ResponseMatcher {

  private static final int MISDIRECTED = 421;

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
  public boolean mayBeFinal(HttpResponse response, ResponseMatch match) {
    // Endpoints may refuse a request without naming it.
    boolean refusal =
        response.status().code() == MISDIRECTED
            || headerTranslator.responseMetadata(response.headers()).notExecuted();
    return !HttpUtil.isKeepAlive(response) || match == ResponseMatch.UNKNOWN && refusal;
  }

  @Override
  public boolean mayReuse(HttpResponse response, ResponseMatch match) {
    return match == ResponseMatch.NAMED;
  }
}
