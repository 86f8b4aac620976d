package org.lentilhinge.runtime.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.lentilhinge.configuration.Adapter;
import org.lentilhinge.configuration.Caller;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Policy;
import org.lentilhinge.configuration.Rule;
import org.lentilhinge.configuration.StoreBudget;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.KeyValueFormat;
import org.testng.annotations.Test;

/**
 * Tests that a stream is slowed down by backpressure if its caller does not read. Otherwise the
 * gateway would buffer the complete response.
 */
public class SlowCallerTest {

  private static final String API_KEY = "key";
  private static final int CHUNK_COUNT = 40_000;
  private static final String CHUNK_TEXT = "x".repeat(1_000);

  private final Vertx vertx = Vertx.vertx();
  private final AtomicInteger emitted = new AtomicInteger();
  private final CompletableFuture<Integer> emittedInFirstBurst = new CompletableFuture<>();

  @Test
  public void requestsNoMoreChunksThanCallerReads() throws Exception {
    Gateway gateway = gateway();
    int port = gateway.start().blockingGet();
    try (Socket caller = new Socket()) {
      caller.setReceiveBufferSize(4_096);
      caller.connect(new InetSocketAddress("127.0.0.1", port));
      sendRequest(caller);
      int burst = emittedInFirstBurst.get();
      assertTrue(
          burst < CHUNK_COUNT / 2, "chunks emitted to a caller that reads nothing: " + burst);
      String end = lastBytes(caller);
      assertTrue(end.endsWith("data: [DONE]\n\n\r\n0\r\n\r\n"), end);
      assertEquals(emitted.get(), CHUNK_COUNT);
    }
    gateway.stop(0).blockingAwait();
  }

  /**
   * Emits chunks as fast as they are requested, and records how many were emitted before the event
   * loop was idle.
   */
  private Flowable<CompletionChunk> respond(CompletionJob job) {
    CompletionChunk chunk = new CompletionChunk(CHUNK_TEXT, 1, Optional.empty(), Optional.empty());
    return Flowable.range(0, CHUNK_COUNT)
        .map(ignored -> chunk)
        .doOnNext(ignored -> emitted.incrementAndGet())
        .doOnSubscribe(
            ignored -> vertx.runOnContext(unused -> emittedInFirstBurst.complete(emitted.get())));
  }

  private Gateway gateway() {
    Configuration configuration = configuration();
    MetricRegistry metrics = new MetricRegistry();
    DecisionLog decisions = new DecisionLog(new KeyValueFormat(), ignored -> {});
    RunningRequests running = new RunningRequests();
    RequestIdGenerator ids = new RequestIdGenerator(new HostIncarnation(new HostId("entry-1"), 1));
    Admission admission = new Admission(() -> configuration, ids, running, decisions, metrics);
    GatewaySettings settings = GatewaySettings.of("127.0.0.1", 0);
    CompletionRoutes routes =
        new CompletionRoutes(
            settings, admission, new RuleClassifier(), this::respond, metrics, () -> 0, () -> 0);
    return new Gateway(vertx, settings, running, List.of(routes), decisions, new TestScheduler());
  }

  private static Configuration configuration() {
    CallerId caller = new CallerId("counter");
    AdapterId adapter = new AdapterId("dimmers");
    BaseModelId model = new BaseModelId("base");
    return new Configuration(
        new ConfigurationVersion(1),
        Map.of(),
        Map.of(adapter, new Adapter(adapter, model, 1, 1)),
        Map.of(caller, new Caller(caller, CallerAuthenticator.digest(API_KEY), 1, 1)),
        List.of(new Rule("all", caller, List.of(), adapter, OptionalInt.empty(), Urgency.NORMAL)),
        Map.of(),
        Map.of(),
        new StoreBudget(1, 1, Map.of()),
        new Policy(1, 1, 1, 1));
  }

  private static void sendRequest(Socket caller) throws IOException {
    String body = "{\"prompt\":\"x\",\"stream\":true}";
    String head =
        "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "
            + API_KEY
            + "\r\nConnection: close\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n";
    caller.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
  }

  private static String lastBytes(Socket caller) throws IOException {
    InputStream input = caller.getInputStream();
    byte[] buffer = new byte[1 << 16];
    String last = "";
    for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
      String tail = last + new String(buffer, 0, count, StandardCharsets.US_ASCII);
      last = tail.substring(Math.max(0, tail.length() - 30));
    }
    return last;
  }
}
