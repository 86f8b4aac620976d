package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes responses one by one. Unlike the client codec of Netty, it does not pair responses with
 * requests by their order, which a further response would shift.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {

  private boolean responseToHead;

  EndpointResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /** Prepares for the response to a request. */
  void expectResponse(HttpRequest request) {
    responseToHead = request.method().equals(HttpMethod.HEAD);
  }

  /** Indicates whether bytes were received that belong to no decoded response. */
  boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return responseToHead || super.isContentAlwaysEmpty(message);
  }
}
