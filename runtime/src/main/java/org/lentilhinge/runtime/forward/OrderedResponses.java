package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.lentilhinge.forward.ResponseOwner;

/** The responses of the store, which names no requests and responds to each once, in order. */
final class OrderedResponses implements ResponseAttribution {

  @Override
  public Optional<String> nameCall(HttpHeaders headers) {
    return Optional.empty();
  }

  @Override
  public ResponseOwner ownerOf(HttpHeaders headers, Optional<String> requestId, boolean exclusive) {
    return ResponseOwner.ORDERED;
  }
}
