package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Decodes requests. Ambiguous length headers are kept, so that the request can be rejected. */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private boolean betweenRequests = true;

  /**
   * Creates a decoder.
   *
   * @param headerBytes the maximum size of the request line, and of the headers, in bytes
   */
  StrictRequestDecoder(int headerBytes) {
    super(
        new HttpDecoderConfig().setMaxHeaderSize(headerBytes).setMaxInitialLineLength(headerBytes));
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded)
      throws Exception {
    betweenRequests = false;
    super.decode(context, buffer, decoded);
    boolean complete =
        !decoded.isEmpty() && decoded.get(decoded.size() - 1) instanceof LastHttpContent;
    betweenRequests = complete && !buffer.isReadable();
  }

  /** Indicates whether no byte was received after the last complete request. */
  boolean isBetweenRequests() {
    return betweenRequests;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    // The default removes the content length, which hides an attempt at request smuggling.
  }
}
