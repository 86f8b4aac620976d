package org.lentilhinge.runtime.engine;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.lentilhinge.runtime.http.ResponseStatus;

/** Reads the body of a response with a valid status up to a maximum length. */
public final class BoundedBody {

  private BoundedBody() {}

  /**
   * Reads a body. Must be called on the event loop of the response, before it can have ended.
   *
   * @param response the response; its connection is closed if its status is invalid or the body is
   *     too long
   * @param maximumBytes the maximum length, in bytes
   * @return the complete body; fails if the status is invalid, or the body too long or incomplete
   */
  public static Future<Buffer> read(HttpClientResponse response, int maximumBytes) {
    if (!ResponseStatus.isFinal(response.statusCode())) {
      // Without a handler Vert.x logs the reset.
      response.exceptionHandler(unused -> {});
      response.request().reset();
      return Future.failedFuture("invalid status " + response.statusCode());
    }
    Promise<Buffer> promise = Promise.promise();
    Buffer body = Buffer.buffer();
    response.handler(
        chunk -> {
          if (promise.future().isComplete()) {
            return;
          }
          if (body.length() + chunk.length() > maximumBytes) {
            promise.fail("response is longer than " + maximumBytes + " bytes");
            response.request().reset();
          } else {
            body.appendBuffer(chunk);
          }
        });
    response.end().onComplete(ended -> promise.tryComplete(body), promise::tryFail);
    return promise.future();
  }
}
