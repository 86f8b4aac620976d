package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.Random;
import org.lentilhinge.forward.ResponseMatch;

/** The responses of endpoints and other hosts, which name their requests. */
final class NamedResponseMatcher implements ResponseMatcher {

  private final HeaderTranslator headerTranslator;
  private final Random random;

  NamedResponseMatcher(HeaderTranslator headerTranslator, Random random) {
    this.headerTranslator = headerTranslator;
    this.random = random;
  }

  @Override
  public Optional<String> nameCall(HttpHeaders headers) {
    String id = Long.toHexString(random.nextLong());
    headerTranslator.setRequestId(headers, id);
    return Optional.of(id);
  }

  @Override
  public ResponseMatch match(HttpHeaders headers, Optional<String> requestId, boolean exclusive) {
    return ResponseMatch.of(requestId, headerTranslator.respondedRequestIds(headers), exclusive);
  }
}
