package org.lentilhinge.emulator.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.lentilhinge.configuration.Deduplication;
import org.lentilhinge.emulator.engine.FixedDelayStepTimer;
import org.lentilhinge.emulator.engine.GeneratedText;
import org.lentilhinge.emulator.engine.StepTimer;
import org.lentilhinge.emulator.engine.StreamFault;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.KeyValueFormat;
import org.lentilhinge.runtime.gateway.GatewaySettings;
import org.lentilhinge.runtime.metric.MetricNames;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests responses whose engine fails before the response is complete. */
public class ResumeTest {

  private static final AdapterVersion DRAINS = new AdapterVersion(new AdapterId("drains-sofia"), 3);
  private static final String PROMPT = "Crack at 12 m";
  private static final int TOKENS = 6;
  private static final String COMPLETE_TEXT = GeneratedText.firstTokens(DRAINS, PROMPT, TOKENS);
  private static final long SILENCE_MILLIS = 30_000;

  private final Vertx vertx = Vertx.vertx();
  private final List<String> decisions = Collections.synchronizedList(new ArrayList<>());
  private final TestScheduler scheduler = new TestScheduler();

  @DataProvider
  public static Object[][] failingFaults() {
    return new Object[][] {
      {StreamFault.CRASH},
      {StreamFault.TRUNCATE},
      {StreamFault.END_EARLY},
      {StreamFault.SKIP},
      {StreamFault.WRONG_MODEL},
    };
  }

  @Test(dataProvider = "failingFaults")
  public void completesResponseOnAnotherEngine(StreamFault fault) throws Exception {
    LoopbackHost host = startHost(2, new FixedDelayStepTimer(vertx, 0));
    host.engine(0).faults().planStreamFault(fault, 3);
    String response = send(host, true).readAll();
    assertEquals(text(response), COMPLETE_TEXT);
    assertTrue(response.contains("data: [DONE]"));
    assertEquals(host.engine(1).statistics().acceptedAttempts().get(0).offset(), 3);
    assertEquals(
        host.engine(1).statistics().acceptedAttempts().get(0).attemptId(), "entry-1/1/1/2");
    assertEquals(host.metrics().counter(MetricNames.RESUMES).getCount(), 1);
  }

  @DataProvider
  public static Object[][] harmlessFaults() {
    return new Object[][] {{StreamFault.DUPLICATE}, {StreamFault.CROSS}};
  }

  @Test(dataProvider = "harmlessFaults")
  public void dropsUnexpectedTokens(StreamFault fault) throws Exception {
    LoopbackHost host = startHost(2, new FixedDelayStepTimer(vertx, 0));
    host.engine(0).faults().planStreamFault(fault, 3);
    assertEquals(text(send(host, true).readAll()), COMPLETE_TEXT);
    assertEquals(host.metrics().getGauges().get(MetricNames.DROPPED_CHUNKS).getValue(), 1L);
    assertEquals(host.engine(1).statistics().acceptedAttempts().size(), 0);
  }

  @Test
  public void resumesSilentStreamOnAnotherEngine() throws Exception {
    LoopbackHost host = startHost(2, new FixedDelayStepTimer(vertx, 0));
    host.engine(0).faults().planStreamFault(StreamFault.SILENT, 2);
    Caller caller = send(host, true);
    String beginning = caller.readUntil(GeneratedText.token(DRAINS, PROMPT, 1));
    // Once this request is answered, the gateway's event loop is waiting for the third token.
    new Session(host.port()).get("/health/live");
    scheduler.advanceTimeBy(SILENCE_MILLIS, TimeUnit.MILLISECONDS);
    String response = beginning + caller.readAll();
    assertEquals(text(response), COMPLETE_TEXT);
    assertEquals(host.engine(1).statistics().acceptedAttempts().get(0).offset(), 2);
    assertEquals(host.engine(0).statistics().cancelledAttempts(), 1);
  }

  @Test
  public void routesAroundUnreachableEngine() throws Exception {
    LoopbackHost host = startHost(2, new FixedDelayStepTimer(vertx, 0));
    send(host, true).readAll();
    host.engine(0).stop().blockingAwait();
    assertEquals(text(send(host, true).readAll()), COMPLETE_TEXT);
  }

  @Test
  public void endsCutAnswerWithError() throws Exception {
    LoopbackHost host = startHost(1, new FixedDelayStepTimer(vertx, 0));
    host.engine(0).faults().planStreamFault(StreamFault.CRASH, 2);
    Session session = new Session(host.port());
    session.post(
        "/v1/completions", body(true), "Authorization", "Bearer " + LoopbackHost.WATER_KEY);
    host.engine(0).faults().planStreamFault(StreamFault.CRASH, 2);
    session.post(
        "/v1/completions", body(false), "Authorization", "Bearer " + LoopbackHost.WATER_KEY);
    String lines = String.join("\n", decisions).replaceAll("wait=\\d+ms", "wait=MILLIS");
    Approvals.verify(session.transcript() + "\n" + lines + "\n");
    assertFalse(session.transcript().contains("[DONE]"));
  }

  @Test
  public void limitsRetriesToTheRetryBudget() throws Exception {
    LoopbackHost host = startHost(2, new FixedDelayStepTimer(vertx, 0));
    int requests = 30;
    for (int index = 0; index < requests; index++) {
      host.engine(0).faults().planStreamFault(StreamFault.REFUSE, 0);
      host.engine(1).faults().planStreamFault(StreamFault.REFUSE, 0);
    }
    for (int index = 0; index < requests; index++) {
      send(host, false).readAll();
    }
    // The retry budget starts full with ten retries, so the first request adds none, and each of
    // the other 29 requests adds a tenth of a retry.
    assertEquals(host.metrics().counter(MetricNames.RESUMES).getCount(), 12);
  }

  private LoopbackHost startHost(int engines, StepTimer timer) {
    decisions.clear();
    LoopbackSettings settings =
        new LoopbackSettings(engines, 4, 4, Deduplication.NONE, GatewaySettings.of("127.0.0.1", 0));
    DecisionLog log = new DecisionLog(new KeyValueFormat(), decisions::add);
    LoopbackHost host = new LoopbackHost(vertx, settings, timer, log, scheduler, this::nowMillis);
    host.start();
    return host;
  }

  private static Caller send(LoopbackHost host, boolean streamed) throws Exception {
    Caller caller = new Caller(host.port(), LoopbackHost.WATER_KEY);
    caller.send("/v1/completions", body(streamed));
    return caller;
  }

  private static String body(boolean streamed) {
    return new JsonObject()
        .put("model", "reports")
        .put("stream", streamed)
        .put("max_tokens", TOKENS)
        .put("prompt", PROMPT)
        .encode();
  }

  private static String text(String response) {
    return response
        .lines()
        .filter(line -> line.startsWith("data: {"))
        .map(line -> new JsonObject(line.substring("data: ".length())))
        .map(event -> event.getJsonArray("choices").getJsonObject(0).getString("text"))
        .collect(Collectors.joining());
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
