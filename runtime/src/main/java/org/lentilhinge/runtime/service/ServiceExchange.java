package org.lentilhinge.runtime.service;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.HostAndPort;
import io.vertx.rxjava3.SingleHelper;
import java.util.function.BooleanSupplier;
import org.lentilhinge.runtime.engine.Addresses;
import org.lentilhinge.runtime.http.ResponseStatus;

/**
 * Executes one attempt. The flag {@code written} is set before the first byte can be sent; from
 * then on the outcome is known only if the response is complete.
 */
final class ServiceExchange {

  private final ServiceAttempt attempt;
  private final BooleanSupplier mayWrite;
  private final int maximumResponseBytes;
  private HttpClientRequest request;
  private boolean abandoned;
  private boolean written;

  ServiceExchange(ServiceAttempt attempt, BooleanSupplier mayWrite, int maximumResponseBytes) {
    this.attempt = attempt;
    this.mayWrite = mayWrite;
    this.maximumResponseBytes = maximumResponseBytes;
  }

  Single<ServiceAttemptResult> run(HttpClient client) {
    return SingleHelper.toSingle(
        handler ->
            client
                .request(options())
                .compose(this::send)
                .recover(cause -> Future.succeededFuture(failedResult(cause)))
                .onComplete(handler));
  }

  /** Aborts the exchange and returns the outcome as far as it is known. */
  synchronized ServiceAttemptResult abandon(String detail) {
    abandoned = true;
    if (request != null) {
      request.reset();
    }
    return resultWithoutResponse(detail);
  }

  private RequestOptions options() {
    HostAndPort server = Addresses.parse(attempt.address());
    return new RequestOptions()
        .setMethod(HttpMethod.valueOf(attempt.method()))
        .setHost(server.host())
        .setPort(server.port())
        .setURI(attempt.path())
        .setFollowRedirects(false);
  }

  private Future<ServiceAttemptResult> send(HttpClientRequest opened) {
    synchronized (this) {
      request = opened;
      // Failures are reported through the futures; a reset by this client needs no handling.
      opened.exceptionHandler(ignored -> {});
      opened.headers().addAll(attempt.headers());
      if (abandoned || !mayWrite.getAsBoolean()) {
        opened.reset();
        return Future.succeededFuture(ServiceAttemptResult.notRun("withheld before write"));
      }
      written = true;
    }
    return opened.send(attempt.body()).compose(this::read);
  }

  private Future<ServiceAttemptResult> read(HttpClientResponse response) {
    if (!ResponseStatus.isFinal(response.statusCode())) {
      // Without a handler Vert.x logs the reset.
      response.exceptionHandler(unused -> {});
      return Future.succeededFuture(abandon("invalid status " + response.statusCode()));
    }
    Buffer body = Buffer.buffer();
    response.handler(
        chunk -> {
          body.appendBuffer(chunk);
          if (body.length() > maximumResponseBytes) {
            abandon("response exceeds the size limit");
          }
        });
    return response
        .end()
        .map(
            ignored ->
                ServiceAttemptResult.answered(
                    new ServiceResponse(response.statusCode(), response.headers(), body)));
  }

  private synchronized ServiceAttemptResult failedResult(Throwable cause) {
    return resultWithoutResponse(String.valueOf(cause.getMessage()));
  }

  private ServiceAttemptResult resultWithoutResponse(String detail) {
    return written ? ServiceAttemptResult.unknown(detail) : ServiceAttemptResult.notRun(detail);
  }
}
