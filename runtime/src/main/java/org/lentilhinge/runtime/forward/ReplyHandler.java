package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears of the answer to one request. After {@code ended} or {@code failed} comes nothing more. */
interface ReplyHandler {

  /** Tells whether an answer belongs to the request; others are passed over. */
  boolean belongs(HttpResponse response);

  /** Takes the answer's status and headers. */
  void head(HttpResponse response);

  /** Takes a part of the body, which the caller of this method releases. */
  void data(ByteBuf part);

  /** Tells that the answer is whole. */
  void ended();

  /** Tells that no whole answer will come. */
  void failed(String reason);
}
