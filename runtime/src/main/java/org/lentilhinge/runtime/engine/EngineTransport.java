package org.lentilhinge.runtime.engine;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.HostAndPort;
import io.vertx.rxjava3.SingleHelper;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.runtime.metric.MetricNames;

/**
 * Opens requests on the connections to engines, and runs short request/response exchanges on them.
 */
final class EngineTransport {

  /** The maximum length of a reply that is not streamed, in bytes. */
  static final int MAXIMUM_BODY_BYTES = 1_048_576;

  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_UNAVAILABLE = 503;

  private final Vertx vertx;
  private final EngineClientSettings settings;
  private final Scheduler scheduler;
  private final LongSupplier nowMillis;
  private final MetricRegistry metrics;
  private final EngineConnectionPools connectionPools;

  EngineTransport(
      Vertx vertx,
      EngineClientSettings settings,
      Scheduler scheduler,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    this.vertx = vertx;
    this.settings = settings;
    this.scheduler = scheduler;
    this.nowMillis = nowMillis;
    this.metrics = metrics;
    this.connectionPools = new EngineConnectionPools(vertx, settings);
  }

  Vertx vertx() {
    return vertx;
  }

  EngineClientSettings settings() {
    return settings;
  }

  /** Creates an inactivity timer for one stream. */
  InactivityTimer createInactivityTimer(Runnable onTimeout) {
    return new InactivityTimer(scheduler, nowMillis, onTimeout);
  }

  HttpClient pool(EndpointId endpoint) {
    return connectionPools.pool(endpoint);
  }

  /** Counts an attempt immediately before its request is written. */
  void countAttempt() {
    metrics.counter(MetricNames.ATTEMPTS).inc();
  }

  /** Replaces a pool in which a connection has timed out. */
  void replacePool(EndpointId endpoint, HttpClient pool) {
    if (connectionPools.replace(endpoint, pool)) {
      metrics.counter(MetricNames.REPLACED_CONNECTIONS).inc();
    }
  }

  RequestOptions requestOptions(HttpMethod method, String address, String path) {
    HostAndPort server = Addresses.parse(address);
    return new RequestOptions()
        .setMethod(method)
        .setHost(server.host())
        .setPort(server.port())
        .setURI(path)
        .setFollowRedirects(false);
  }

  /** Sends one request and reads its complete reply, within the timeout for orders. */
  Single<Buffer> exchange(EngineCall call, BooleanSupplier mayWrite) {
    return Single.defer(() -> start(call, mayWrite));
  }

  private Single<Buffer> start(EngineCall call, BooleanSupplier mayWrite) {
    HttpClient pool = pool(call.endpoint());
    Exchange exchange = new Exchange(call, mayWrite);
    return SingleHelper.<Buffer>toSingle(
            handler ->
                pool.request(requestOptions(call.method(), call.address(), call.path()))
                    .recover(cause -> Future.failedFuture(unreachable(call, cause)))
                    .compose(exchange::send)
                    .onComplete(handler))
        .timeout(settings.orderTimeoutMillis(), TimeUnit.MILLISECONDS, scheduler)
        .doOnDispose(exchange::abandon)
        .onErrorResumeNext(
            error -> {
              if (error instanceof TimeoutException) {
                exchange.abandon();
                replacePool(call.endpoint(), pool);
                return Single.error(
                    new EngineException(
                        EngineFailure.SILENT, call.endpoint(), "timed out waiting for the reply"));
              }
              return Single.error(toEngineException(call.endpoint(), error));
            });
  }

  private static EngineException unreachable(EngineCall call, Throwable cause) {
    return new EngineException(EngineFailure.UNREACHABLE, call.endpoint(), cause.getMessage());
  }

  private static EngineException toEngineException(EndpointId endpoint, Throwable error) {
    return error instanceof EngineException engineException
        ? engineException
        : new EngineException(EngineFailure.BROKEN, endpoint, String.valueOf(error.getMessage()));
  }

  /** Converts a response with an error status to an exception. */
  static EngineException errorResponse(EndpointId endpoint, int status, Buffer body) {
    if (status == STATUS_CONFLICT) {
      try {
        String highestFencingToken = body.toJsonObject().getString("highest_fencing");
        return EngineException.fenced(endpoint, VllmCodec.decodeFencingToken(highestFencingToken));
      } catch (DecodeException | ClassCastException | NullPointerException exception) {
        return new EngineException(EngineFailure.REFUSED, endpoint, "status " + status);
      }
    }
    boolean refused = (status >= 400 && status < 500) || status == STATUS_UNAVAILABLE;
    EngineFailure failure = refused ? EngineFailure.REFUSED : EngineFailure.FAILED;
    return new EngineException(failure, endpoint, "status " + status + " " + errorMessage(body));
  }

  private static String errorMessage(Buffer body) {
    try {
      return body.toJsonObject().getString("message", "");
    } catch (DecodeException | ClassCastException exception) {
      return "";
    }
  }

  /** Runs one exchange on an established connection. */
  private static final class Exchange {

    private final EngineCall call;
    private final BooleanSupplier mayWrite;
    private HttpClientRequest request;
    private boolean abandoned;

    Exchange(EngineCall call, BooleanSupplier mayWrite) {
      this.call = call;
      this.mayWrite = mayWrite;
    }

    synchronized Future<Buffer> send(HttpClientRequest newRequest) {
      request = newRequest;
      newRequest.exceptionHandler(ignored -> {});
      if (abandoned || !mayWrite.getAsBoolean()) {
        newRequest.reset();
        return Future.failedFuture(
            new EngineException(EngineFailure.WITHHELD, call.endpoint(), "withheld before write"));
      }
      call.fencingToken()
          .ifPresent(token -> newRequest.putHeader(VllmCodec.FENCING_HEADER, token.toString()));
      newRequest.putHeader("Content-Type", "application/json");
      Buffer body = call.body().map(JsonObject::toBuffer).orElseGet(Buffer::buffer);
      return newRequest.send(body).compose(this::read);
    }

    synchronized void abandon() {
      abandoned = true;
      if (request != null) {
        request.reset();
      }
    }

    private Future<Buffer> read(HttpClientResponse response) {
      return BoundedBody.read(response, MAXIMUM_BODY_BYTES)
          .compose(
              body ->
                  response.statusCode() == 200
                      ? Future.succeededFuture(body)
                      : Future.failedFuture(
                          errorResponse(call.endpoint(), response.statusCode(), body)));
    }
  }
}
