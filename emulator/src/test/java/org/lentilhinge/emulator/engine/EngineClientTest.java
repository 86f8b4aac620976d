package org.lentilhinge.emulator.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.runtime.engine.CompletionKind;
import org.lentilhinge.runtime.engine.EngineChunk;
import org.lentilhinge.runtime.engine.EngineClientSettings;
import org.lentilhinge.runtime.engine.EngineException;
import org.lentilhinge.runtime.engine.EngineFailure;
import org.lentilhinge.runtime.engine.EngineOrder;
import org.lentilhinge.runtime.engine.EngineReport;
import org.lentilhinge.runtime.engine.EngineRequest;
import org.lentilhinge.runtime.engine.ResumePoint;
import org.lentilhinge.runtime.engine.VllmEngineClient;
import org.lentilhinge.runtime.metric.MetricNames;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the engine client in virtual time: the tests trigger the engine's steps and all timers. */
public class EngineClientTest {

  private static final EndpointId ENGINE = new EndpointId("engine-1");
  private static final AdapterVersion DRAINS = new AdapterVersion(new AdapterId("drains-sofia"), 3);
  private static final String PROMPT = "Crack at 12 m";
  private static final int TOKENS = 5;
  private static final long FIRST_CHUNK_MILLIS = 30_000;
  private static final long NEXT_CHUNK_MILLIS = 5_000;

  private final Vertx vertx = Vertx.vertx();
  private TestScheduler scheduler;
  private MetricRegistry metrics;
  private ManualStepTimer steps;
  private EngineServer engine;
  private VllmEngineClient client;
  private String address;

  @BeforeMethod
  public void start() {
    scheduler = new TestScheduler();
    metrics = new MetricRegistry();
    steps = new ManualStepTimer();
    EngineSettings settings = new EngineSettings(ENGINE, 2, 2, FencingSupport.CHECKED, 0);
    engine = new EngineServer(vertx, settings, adapter -> Completable.complete(), steps, () -> 0);
    address = "127.0.0.1:" + engine.start(0).blockingGet();
    EngineClientSettings clientSettings =
        new EngineClientSettings(1_000, FIRST_CHUNK_MILLIS, NEXT_CHUNK_MILLIS, 10_000, 16, 65_536);
    client =
        new VllmEngineClient(
            vertx, clientSettings, scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS), metrics);
  }

  @AfterMethod
  public void stop() {
    engine.stop().blockingAwait();
  }

  @Test
  public void streamsResponseOfRequestedAdapterVersion() throws InterruptedException {
    load();
    TestSubscriber<EngineChunk> response = run().test();
    stepTimes(TOKENS);
    response.awaitDone(20, TimeUnit.SECONDS).assertComplete();
    assertEquals(text(response), GeneratedText.firstTokens(DRAINS, PROMPT, TOKENS));
    assertTrue(
        response.values().stream().allMatch(chunk -> chunk.model().equals("drains-sofia@3")));
    assertTrue(response.values().stream().allMatch(chunk -> chunk.attempt().equals("h/1/1/1")));
  }

  @Test
  public void resumesAtOffset() throws InterruptedException {
    load();
    ResumePoint resume = new ResumePoint(2, GeneratedText.firstTokens(DRAINS, PROMPT, 2));
    TestSubscriber<EngineChunk> response = client.run(request(2, resume), () -> true).test();
    stepTimes(TOKENS - 2);
    response.awaitDone(20, TimeUnit.SECONDS).assertComplete();
    assertEquals(resume.text() + text(response), GeneratedText.firstTokens(DRAINS, PROMPT, TOKENS));
    assertEquals(response.values().get(0).offset(), 2);
  }

  @Test
  public void failsAttemptOnVersionThatIsNotLoaded() throws InterruptedException {
    TestSubscriber<EngineChunk> response = run().test();
    assertFailure(response, EngineFailure.REFUSED);
  }

  @Test
  public void withholdsAttemptWithExpiredGrant() throws InterruptedException {
    load();
    TestSubscriber<EngineChunk> response =
        client.run(request(1, ResumePoint.START), () -> false).test();
    assertFailure(response, EngineFailure.WITHHELD);
    assertEquals(engine.statistics().acceptedAttempts().size(), 0);
  }

  @Test
  public void withholdsOrderWithExpiredLease() {
    EngineException failure = failure(client.load(order(1, DRAINS), () -> false));
    assertEquals(failure.failure(), EngineFailure.WITHHELD);
    assertEquals(engine.statistics().loads(), 0);
  }

  @Test
  public void returnsHighestFencingTokenForRejectedOrder() {
    client.load(order(7, DRAINS), () -> true).blockingAwait();
    EngineException failure = failure(client.unload(order(6, DRAINS), () -> true));
    assertEquals(failure.failure(), EngineFailure.FENCED);
    assertEquals(failure.highestFencingToken().orElseThrow(), new FencingToken(7, new HostId("h")));
    assertEquals(report().resident().size(), 1);
  }

  @Test
  public void readsEngineReport() throws InterruptedException {
    load();
    TestSubscriber<EngineChunk> response = run().test();
    steps.step();
    response.awaitCount(1);
    EngineReport report = report();
    assertEquals(report.running(), 1);
    assertTrue(report.attempts().contains("h/1/1/1"));
    assertEquals(report.incarnation(), "engine-1/1");
  }

  @Test
  public void endsRunningAttemptOnCancel() throws InterruptedException {
    load();
    TestSubscriber<EngineChunk> response = run().test();
    steps.step();
    response.awaitCount(1);
    assertTrue(client.cancel(ENGINE, address, attempt(1)).blockingGet());
    assertFailure(response, EngineFailure.BROKEN);
    assertFalse(client.cancel(ENGINE, address, attempt(1)).blockingGet());
  }

  @Test
  public void cancelsEngineStreamWhenSubscriberCancels() throws InterruptedException {
    load();
    TestSubscriber<EngineChunk> response = run().test();
    steps.step();
    response.awaitCount(1);
    response.cancel();
    engine.statistics().awaitCancelled(1);
    assertEquals(report().running(), 0);
  }

  @Test
  public void failsStreamAtFirstTokenTimeout() throws InterruptedException {
    load();
    TestSubscriber<EngineChunk> response = run().test();
    engine.statistics().awaitAttempts(1);
    scheduler.advanceTimeBy(FIRST_CHUNK_MILLIS - 1, TimeUnit.MILLISECONDS);
    response.assertNoErrors();
    scheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
    assertFailure(response, EngineFailure.SILENT);
  }

  @Test
  public void failsStalledStreamAndClosesConnections() throws InterruptedException {
    load();
    engine.faults().planStreamFault(StreamFault.SILENT, 2);
    TestSubscriber<EngineChunk> response = run().test();
    stepTimes(3);
    response.awaitCount(2);
    scheduler.advanceTimeBy(FIRST_CHUNK_MILLIS, TimeUnit.MILLISECONDS);
    assertFailure(response, EngineFailure.SILENT);
    assertEquals(metrics.counter(MetricNames.REPLACED_CONNECTIONS).getCount(), 1);
    int before = engine.statistics().connections();
    assertEquals(report().resident().size(), 1);
    assertEquals(
        engine.statistics().connections(), before + 1, "the next request uses a new connection");
  }

  @Test
  public void doesNotTimeOutForSlowReader() throws InterruptedException {
    load();
    TestSubscriber<EngineChunk> response = run().test(1);
    stepTimes(TOKENS);
    response.awaitCount(1);
    scheduler.advanceTimeBy(10 * FIRST_CHUNK_MILLIS, TimeUnit.MILLISECONDS);
    response.assertNoErrors();
    response.request(Long.MAX_VALUE);
    response.awaitDone(20, TimeUnit.SECONDS).assertComplete();
    assertEquals(text(response), GeneratedText.firstTokens(DRAINS, PROMPT, TOKENS));
  }

  @Test
  public void failsStreamWhoseConnectionBreaks() throws InterruptedException {
    load();
    engine.faults().planStreamFault(StreamFault.CRASH, 2);
    TestSubscriber<EngineChunk> response = run().test();
    stepTimes(3);
    assertFailure(response, EngineFailure.BROKEN);
    assertEquals(engine.statistics().acceptedAttempts().size(), 1, "the client does not retry");
  }

  @Test
  public void failsStreamThatEndsWithoutItsLastEvent() throws InterruptedException {
    load();
    engine.faults().planStreamFault(StreamFault.TRUNCATE, 2);
    TestSubscriber<EngineChunk> response = run().test();
    stepTimes(3);
    assertFailure(response, EngineFailure.BROKEN);
  }

  @Test
  public void reportsStoppedEngineAsUnreachable() throws InterruptedException {
    engine.stop().blockingAwait();
    TestSubscriber<EngineChunk> response = run().test();
    assertFailure(response, EngineFailure.UNREACHABLE);
    engine.start(0).blockingGet();
  }

  @Test
  public void reportsFailedLoad() {
    engine.faults().failLoads(1);
    EngineException failure = failure(client.load(order(1, DRAINS), () -> true));
    assertEquals(failure.failure(), EngineFailure.FAILED);
    client.load(order(1, DRAINS), () -> true).blockingAwait();
  }

  private Flowable<EngineChunk> run() {
    return client.run(request(1, ResumePoint.START), () -> true);
  }

  private void load() {
    client.load(order(1, DRAINS), () -> true).blockingAwait();
  }

  private void stepTimes(int count) throws InterruptedException {
    for (int step = 0; step < count; step++) {
      steps.step();
    }
  }

  private EngineReport report() {
    return client.report(ENGINE, address).blockingGet();
  }

  private EngineOrder order(long counter, AdapterVersion adapter) {
    return new EngineOrder(ENGINE, address, adapter, new FencingToken(counter, new HostId("h")));
  }

  private EngineRequest request(int number, ResumePoint resume) {
    JsonObject body =
        new JsonObject().put("model", "reports").put("prompt", PROMPT).put("max_tokens", TOKENS);
    return new EngineRequest(
        ENGINE,
        address,
        attempt(number),
        DRAINS,
        Urgency.NORMAL,
        CompletionKind.TEXT,
        body,
        resume);
  }

  private static AttemptId attempt(int number) {
    return new AttemptId(new RequestId(new HostIncarnation(new HostId("h"), 1), 1), number);
  }

  private static String text(TestSubscriber<EngineChunk> response) {
    return response.values().stream().map(EngineChunk::text).collect(Collectors.joining());
  }

  private static EngineException failure(Completable order) {
    return (EngineException) order.toFlowable().materialize().blockingFirst().getError();
  }

  private static void assertFailure(TestSubscriber<EngineChunk> response, EngineFailure expected)
      throws InterruptedException {
    response.awaitDone(20, TimeUnit.SECONDS);
    response.assertError(
        error ->
            error instanceof EngineException engineException
                && engineException.failure() == expected);
  }
}
