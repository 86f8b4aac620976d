package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and leaves both lengths on one that names two, so that it can be refused. */
final class StrictRequestDecoder extends HttpRequestDecoder {

  StrictRequestDecoder(HttpDecoderConfig config) {
    super(config);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    // The default removes the length, which hides what may be smuggled behind it.
  }
}
