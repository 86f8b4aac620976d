package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.lentilhinge.runtime.http.ResponseStatus;

/**
 * Decodes responses one by one. Unlike the client codec of Netty, it does not pair responses with
 * requests by their order, which a further response would shift. A response with an invalid status
 * is not decoded: failing servers send such responses, and Netty accepts any number.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {

  private boolean responseToHead;

  /** The status line of a response has no valid status. */
  static final class InvalidStatusException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    InvalidStatusException(String status) {
      super("invalid status " + status);
    }
  }

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
  protected HttpMessage createMessage(String[] initialLine) {
    if (!ResponseStatus.isValid(initialLine[1])) {
      throw new InvalidStatusException(initialLine[1]);
    }
    return super.createMessage(initialLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return responseToHead || super.isContentAlwaysEmpty(message);
  }
}
