package org.lentilhinge.emulator.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.emulator.proxy.RepeatedResponse;
import org.lentilhinge.emulator.proxy.RepeatingProxy;
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
import org.lentilhinge.runtime.engine.EngineRequest;
import org.lentilhinge.runtime.engine.ResumePoint;
import org.lentilhinge.runtime.engine.VllmCodec;
import org.lentilhinge.runtime.engine.VllmEngineClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the client with an engine that repeats its responses before the next one. */
public class RepeatedEngineResponseTest {

  private static final EndpointId ENGINE = new EndpointId("engine-1");
  private static final AdapterVersion DRAINS = new AdapterVersion(new AdapterId("drains-sofia"), 3);
  private static final AdapterVersion ROOFS = new AdapterVersion(new AdapterId("roofs-sofia"), 1);
  private static final String PROMPT = "Crack at 12 m";
  private static final int TOKENS = 5;
  private static final EngineClientSettings SETTINGS =
      new EngineClientSettings(1_000, 30_000, 5_000, 10_000, 1, 65_536);

  private Vertx vertx;
  private EngineServer engine;
  private VllmEngineClient client;
  private String engineAddress;
  private String address;

  @BeforeMethod
  public void start() {
    vertx = Vertx.vertx();
    TestScheduler scheduler = new TestScheduler();
    engine =
        new EngineServer(
            vertx,
            new EngineSettings(ENGINE, 2, 2, FencingSupport.CHECKED, 0),
            adapter -> Completable.complete(),
            step -> vertx.runOnContext(unused -> step.run()),
            () -> 0);
    client =
        new VllmEngineClient(
            vertx,
            SETTINGS,
            scheduler,
            () -> scheduler.now(TimeUnit.MILLISECONDS),
            new MetricRegistry());
  }

  @AfterMethod
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @DataProvider
  public static Object[][] forms() {
    return Arrays.stream(RepeatedResponse.values())
        .map(form -> new Object[] {form})
        .toArray(Object[][]::new);
  }

  // Guards against taking the repeated response to a load for the success of a later load.
  @Test(dataProvider = "forms")
  public void failedLoadIsNotReportedAsDone(RepeatedResponse form) {
    startEngine(form);
    load(address, DRAINS).blockingAwait();
    engine.faults().failLoads(1);
    Throwable failure = load(address, ROOFS).toFlowable().materialize().blockingFirst().getError();
    assertTrue(failure instanceof EngineException, "the load fails, but got " + failure);
    assertEquals(((EngineException) failure).failure(), EngineFailure.FAILED);
  }

  // Guards against reading the repeated response to an order as a report without adapters.
  @Test(dataProvider = "forms")
  public void reportIsNotReadFromRepeatedResponse(RepeatedResponse form) {
    startEngine(form);
    load(address, DRAINS).blockingAwait();
    assertEquals(client.report(ENGINE, address).blockingGet().resident(), List.of(DRAINS));
  }

  // Guards against taking a running attempt for an unknown one because of a repeated response.
  @Test(dataProvider = "forms")
  public void runningAttemptIsNotReportedAsUnknown(RepeatedResponse form)
      throws InterruptedException {
    startEngine(form);
    load(engineAddress, DRAINS).blockingAwait();
    assertFalse(client.cancel(ENGINE, address, attempt(1)).blockingGet());
    engine.faults().planStreamFault(StreamFault.SILENT, 0);
    TestSubscriber<EngineChunk> running = client.run(request(engineAddress, 2), () -> true).test();
    engine.statistics().awaitAttempts(1);
    assertTrue(client.cancel(ENGINE, address, attempt(2)).blockingGet());
    running.awaitDone(20, TimeUnit.SECONDS).assertError(EngineException.class);
  }

  // Guards against taking the repeated refusal of an attempt for the refusal of the next one.
  @Test(dataProvider = "forms")
  public void acceptedAttemptIsNotReportedAsRefused(RepeatedResponse form)
      throws InterruptedException {
    startEngine(form);
    load(engineAddress, DRAINS).blockingAwait();
    engine.faults().planStreamFault(StreamFault.REFUSE, 0);
    run(1).assertError(EngineException.class);
    assertComplete(run(2), 2);
  }

  // Guards against failing an attempt because of the repeated response to an order.
  @Test(dataProvider = "forms")
  public void streamIsNotReplacedByRepeatedResponseToOrder(RepeatedResponse form)
      throws InterruptedException {
    startEngine(form);
    load(address, DRAINS).blockingAwait();
    assertComplete(run(1), 1);
  }

  // Guards against failing an attempt because of the repeated stream of a former one.
  @Test(dataProvider = "forms")
  public void streamIsNotReplacedByRepeatedStream(RepeatedResponse form)
      throws InterruptedException {
    startEngine(form);
    load(engineAddress, DRAINS).blockingAwait();
    assertComplete(run(1), 1);
    assertComplete(run(2), 2);
  }

  private void startEngine(RepeatedResponse form) {
    int port = engine.start(0).blockingGet();
    engineAddress = "127.0.0.1:" + port;
    RepeatingProxy proxy = new RepeatingProxy(vertx, form, VllmCodec.ATTEMPT_HEADER);
    address = "127.0.0.1:" + proxy.start(port).blockingGet();
  }

  private Completable load(String at, AdapterVersion adapter) {
    FencingToken token = new FencingToken(1, new HostId("h"));
    return client.load(new EngineOrder(ENGINE, at, adapter, token), () -> true);
  }

  private TestSubscriber<EngineChunk> run(int number) throws InterruptedException {
    return client.run(request(address, number), () -> true).test().awaitDone(20, TimeUnit.SECONDS);
  }

  private static EngineRequest request(String at, int number) {
    JsonObject body =
        new JsonObject().put("model", "reports").put("prompt", PROMPT).put("max_tokens", TOKENS);
    return new EngineRequest(
        ENGINE,
        at,
        attempt(number),
        DRAINS,
        Urgency.NORMAL,
        CompletionKind.TEXT,
        body,
        ResumePoint.START);
  }

  private static AttemptId attempt(int number) {
    return new AttemptId(new RequestId(new HostIncarnation(new HostId("h"), 1), 1), number);
  }

  private static void assertComplete(TestSubscriber<EngineChunk> response, int number) {
    response.assertComplete();
    List<EngineChunk> chunks = response.values();
    assertEquals(
        chunks.stream().map(EngineChunk::text).collect(Collectors.joining()),
        GeneratedText.firstTokens(DRAINS, PROMPT, TOKENS));
    assertTrue(chunks.stream().allMatch(chunk -> chunk.attempt().equals("h/1/1/" + number)));
  }
}
