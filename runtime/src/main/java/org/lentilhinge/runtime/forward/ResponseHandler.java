package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request. No method is called after {@link #onComplete} or {@link
 * #onFailure}.
 */
interface ResponseHandler {

  /** Indicates whether a response belongs to the request; other responses are skipped. */
  boolean matches(HttpResponse response);

  /**
   * Indicates whether a response certainly is the one to the request. If not, the connection is not
   * reused, as the endpoint may still send the actual response, or this one again.
   */
  boolean isIdentified(HttpResponse response);

  /** Handles the status and headers of the response. */
  void onHead(HttpResponse response);

  /** Handles a part of the body. The caller of this method releases the buffer. */
  void onData(ByteBuf part);

  /** Handles the end of a complete response. */
  void onComplete();

  /** Handles a failure after which the response cannot be completed. */
  void onFailure(String reason);
}
