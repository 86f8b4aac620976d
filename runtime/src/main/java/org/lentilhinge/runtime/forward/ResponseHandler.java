package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request. No method is called after {@link #onComplete} or {@link
 * #onFailure}.
 */
interface ResponseHandler {

  /** Handles that the whole request was passed to the operating system. */
  default void onWritten() {}

  /** Handles the status and headers of the response. */
  void onHead(HttpResponse response);

  /** Handles a part of the body. The caller of this method releases the buffer. */
  void onData(ByteBuf part);

  /** Handles the end of a complete response. */
  void onComplete();

  /** Handles a failure after which the response cannot be completed. */
  void onFailure(String reason);
}
