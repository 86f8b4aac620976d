package org.lentilhinge.emulator.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.emulator.engine.ManualStepTimer;
import org.lentilhinge.emulator.service.ServiceFault;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.KeyValueFormat;
import org.lentilhinge.runtime.metric.MetricNames;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests callers that disconnect, and stops of the gateway with requests in flight. */
public class CallerTest {

  private static final String COMPLETIONS = "/v1/completions";
  private static final String STREAMED =
      "{\"model\":\"reports\",\"stream\":true,\"max_tokens\":4,\"prompt\":\"Crack\"}";
  private static final String UNSTREAMED =
      "{\"model\":\"reports\",\"max_tokens\":4,\"prompt\":\"Crack\"}";
  private static final long DRAIN_TIMEOUT_MILLIS = 20_000;

  private final Vertx vertx = Vertx.vertx();
  private final List<String> decisions = Collections.synchronizedList(new ArrayList<>());
  private TestScheduler scheduler;
  private ManualStepTimer steps;
  private LoopbackHost host;

  @BeforeMethod
  public void start() {
    decisions.clear();
    scheduler = new TestScheduler();
    steps = new ManualStepTimer();
    DecisionLog log = new DecisionLog(new KeyValueFormat(), decisions::add);
    host =
        new LoopbackHost(vertx, LoopbackSettings.DEFAULT, steps, log, scheduler, this::nowMillis);
    host.start();
  }

  @AfterMethod
  public void stop() {
    TestObserver<Void> stopped = host.stop(0).test();
    scheduler.triggerActions();
    stopped.awaitDone(10, TimeUnit.SECONDS);
  }

  @Test
  public void cancelsEngineStreamWhenStreamingCallerDisconnects() throws Exception {
    Caller caller = send(STREAMED);
    steps.step();
    caller.readUntil("[drains-sofia@3]");
    caller.disconnect();
    host.engine(0).statistics().awaitCancelled(1);
    assertEquals(host.metrics().counter(MetricNames.DISCONNECTED_CALLERS).getCount(), 1);
    assertEquals(host.inFlightRequests().size(), 0);
  }

  @Test
  public void cancelsEngineStreamWhenWaitingCallerDisconnects() throws Exception {
    Caller caller = send(UNSTREAMED);
    host.engine(0).statistics().awaitAttempts(1);
    caller.disconnect();
    host.engine(0).statistics().awaitCancelled(1);
    assertEquals(host.metrics().counter(MetricNames.ANSWERS).getCount(), 0);
  }

  @Test
  public void completesInFlightResponsesBeforeStop() throws Exception {
    Caller caller = send(STREAMED);
    steps.step();
    caller.readUntil("[drains-sofia@3]");
    TestObserver<Void> stopped = host.stop(DRAIN_TIMEOUT_MILLIS).test();
    Caller refusedCaller = send(STREAMED);
    assertTrue(refusedCaller.readAll().contains("urn:lentilhinge:problem:stopping"));
    stopped.assertNotComplete();
    for (int step = 1; step < 4; step++) {
      steps.step();
    }
    assertTrue(caller.readAll().contains("[DONE]"));
    stopped.awaitDone(10, TimeUnit.SECONDS).assertComplete();
  }

  @Test
  public void logsRequestsAbortedAtDrainTimeout() throws Exception {
    send(STREAMED);
    host.engine(0).statistics().awaitAttempts(1);
    TestObserver<Void> stopped = host.stop(DRAIN_TIMEOUT_MILLIS).test();
    scheduler.advanceTimeBy(DRAIN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    stopped.awaitDone(10, TimeUnit.SECONDS).assertComplete();
    String refusal = "decision=refuse request=entry-1/1/1 caller=- adapter=- version=- endpoint=-";
    assertTrue(
        decisions.contains(refusal + " reason=\"interrupted by the stop timeout\" wait=-"),
        decisions.toString());
  }

  @Test
  public void waitsAtStopForBookingsOfDisconnectedCallers() throws Exception {
    host.service().planFault(ServiceFault.SILENT);
    Caller caller = new Caller(host.port(), LoopbackHost.WATER_KEY);
    caller.send("/services/work-orders/orders", "{}", "Idempotency-Key: order-1");
    host.service().awaitExecutions("order-1", 1);
    caller.disconnect();
    // The gateway has processed the disconnect, which precedes these two requests, once they are
    // answered.
    Session session = new Session(host.port());
    session.get("/health/live");
    session.get("/health/live");
    TestObserver<Void> stopped = host.stop(DRAIN_TIMEOUT_MILLIS).test();
    assertEquals(host.inFlightRequests().size(), 1);
    stopped.assertNotComplete();
    scheduler.advanceTimeBy(10_000, TimeUnit.MILLISECONDS);
    stopped.awaitDone(10, TimeUnit.SECONDS).assertComplete();
    assertTrue(decisions.toString().contains("unknown: no answer in time"), decisions.toString());
  }

  private Caller send(String body) throws Exception {
    Caller caller = new Caller(host.port(), LoopbackHost.WATER_KEY);
    caller.send(COMPLETIONS, body);
    return caller;
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
