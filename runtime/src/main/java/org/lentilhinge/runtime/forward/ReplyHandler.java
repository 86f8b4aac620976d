package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request. No method is called after {@link #ended} or {@link
 * #failed}.
 */
interface ReplyHandler {

  /** Indicates whether a response belongs to the request; other responses are skipped. */
  boolean belongs(HttpResponse response);

  /** Handles the status and headers of the response. */
  void head(HttpResponse response);

  /** Handles a part of the body. The caller of this method releases the buffer. */
  void data(ByteBuf part);

  /** Handles the end of a complete response. */
  void ended();

  /** Handles a failure after which the response cannot be completed. */
  void failed(String reason);
}
