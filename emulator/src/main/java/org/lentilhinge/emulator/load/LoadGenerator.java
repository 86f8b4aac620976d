package org.lentilhinge.emulator.load;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.rxjava3.SingleHelper;
import java.util.Arrays;

/**
 * Generates closed-loop load: sends a fixed number of requests with a fixed concurrency and
 * measures each. The next request is sent when a previous one has ended.
 */
public final class LoadGenerator {

  private static final int STATUS_OK = 200;
  private static final String LAST_EVENT = "data: [DONE]";
  private static final long NANOS_PER_MICROSECOND = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int TAIL_BYTES = 32;

  private final Vertx vertx;
  private final HttpClient client;
  private final LoadTarget target;
  private final LoadSettings settings;

  /**
   * Creates a generator.
   *
   * @param vertx the Vert.x instance that sends the requests
   * @param target the destination and content of the requests
   * @param settings the number and concurrency of the requests
   */
  public LoadGenerator(Vertx vertx, LoadTarget target, LoadSettings settings) {
    this.vertx = vertx;
    this.target = target;
    this.settings = settings;
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(settings.concurrency());
    this.client = vertx.createHttpClient(new HttpClientOptions().setTcpNoDelay(true), pool);
  }

  /**
   * Sends the warm-up requests.
   *
   * @return the report of the warm-up requests
   */
  public Single<LoadReport> warmUp() {
    return runRound(settings.warmUpRequests());
  }

  /**
   * Sends the measured requests.
   *
   * @return the report of the measured requests
   */
  public Single<LoadReport> run() {
    return runRound(settings.requests());
  }

  private Single<LoadReport> runRound(int requests) {
    return SingleHelper.toSingle(
        handler -> {
          Round round =
              new Round(requests, report -> handler.handle(Future.succeededFuture(report)));
          // Running on a context ensures that a response's handlers are set before its body
          // arrives.
          vertx.runOnContext(
              ignored -> {
                for (int index = 0; index < Math.min(settings.concurrency(), requests); index++) {
                  round.sendNext();
                }
              });
        });
  }

  /** Receives the report of a round. */
  @FunctionalInterface
  private interface RoundListener {
    void onRoundEnd(LoadReport report);
  }

  /** Sends and measures a number of requests. */
  private final class Round {

    private final long[] firstByteNanos;
    private final long[] responseNanos;
    private final int requests;
    private final RoundListener listener;
    private final long startNanos = System.nanoTime();
    private int startedRequests;
    private int completedRequests;
    private int failedRequests;

    Round(int requests, RoundListener listener) {
      this.requests = requests;
      this.listener = listener;
      this.firstByteNanos = new long[requests];
      this.responseNanos = new long[requests];
    }

    void sendNext() {
      synchronized (this) {
        if (startedRequests == requests) {
          return;
        }
        startedRequests++;
      }
      long sentNanos = System.nanoTime();
      client
          .request(options())
          .onComplete(request -> send(request, sentNanos), error -> recordEnd(sentNanos, 0, false));
    }

    private RequestOptions options() {
      return new RequestOptions()
          .setMethod(HttpMethod.POST)
          .setHost("127.0.0.1")
          .setPort(target.port())
          .setURI(target.path())
          .setHeaders(target.headers());
    }

    private void send(HttpClientRequest request, long sentNanos) {
      request
          .send(target.body().toBuffer())
          .onComplete(
              response -> receive(response, sentNanos), error -> recordEnd(sentNanos, 0, false));
    }

    private void receive(HttpClientResponse response, long sentNanos) {
      long[] firstNanos = new long[1];
      StringBuilder tail = new StringBuilder();
      response.handler(
          chunk -> {
            if (firstNanos[0] == 0) {
              firstNanos[0] = System.nanoTime() - sentNanos;
            }
            keepTail(tail, chunk);
          });
      response
          .end()
          .onComplete(
              ignored ->
                  recordEnd(
                      sentNanos,
                      firstNanos[0],
                      response.statusCode() == STATUS_OK && tail.indexOf(LAST_EVENT) >= 0),
              error -> recordEnd(sentNanos, firstNanos[0], false));
    }

    private void keepTail(StringBuilder tail, Buffer chunk) {
      tail.append(chunk.getString(Math.max(0, chunk.length() - TAIL_BYTES), chunk.length()));
      tail.delete(0, Math.max(0, tail.length() - TAIL_BYTES));
    }

    private void recordEnd(long sentNanos, long firstNanos, boolean success) {
      long elapsedNanos = System.nanoTime() - sentNanos;
      boolean last;
      synchronized (this) {
        if (success) {
          firstByteNanos[completedRequests] = firstNanos;
          responseNanos[completedRequests] = elapsedNanos;
          completedRequests++;
        } else {
          failedRequests++;
        }
        last = completedRequests + failedRequests == requests;
      }
      if (last) {
        listener.onRoundEnd(report());
      } else {
        sendNext();
      }
    }

    private LoadReport report() {
      double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
      long[] sortedFirstNanos = Arrays.copyOf(firstByteNanos, completedRequests);
      long[] sortedResponseNanos = Arrays.copyOf(responseNanos, completedRequests);
      Arrays.sort(sortedFirstNanos);
      Arrays.sort(sortedResponseNanos);
      return new LoadReport(
          completedRequests,
          failedRequests,
          completedRequests / seconds,
          percentile(sortedFirstNanos, 0.5),
          percentile(sortedFirstNanos, 0.99),
          percentile(sortedResponseNanos, 0.5),
          percentile(sortedResponseNanos, 0.99));
    }

    private long percentile(long[] sorted, double fraction) {
      return sorted.length == 0
          ? 0
          : sorted[(int) (fraction * (sorted.length - 1))] / NANOS_PER_MICROSECOND;
    }
  }
}
