package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests. Ambiguous length headers are kept, so that the request can be rejected. */
final class StrictRequestDecoder extends HttpRequestDecoder {

  StrictRequestDecoder(HttpDecoderConfig config) {
    super(config);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    // The default removes the content length, which hides an attempt at request smuggling.
  }
}
