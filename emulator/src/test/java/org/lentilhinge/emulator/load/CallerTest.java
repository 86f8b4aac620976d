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
import org.lentilhinge.emulator.engine.ManualSteps;
import org.lentilhinge.emulator.service.ServiceFault;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.KeyValueFormat;
import org.lentilhinge.runtime.metric.MetricNames;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests callers that leave, and stops while callers are served. */
public class CallerTest {

  private static final String COMPLETIONS = "/v1/completions";
  private static final String STREAMED =
      "{\"model\":\"reports\",\"stream\":true,\"max_tokens\":4,\"prompt\":\"Crack\"}";
  private static final String WHOLE =
      "{\"model\":\"reports\",\"max_tokens\":4,\"prompt\":\"Crack\"}";
  private static final long BOUND_MILLIS = 20_000;

  private final Vertx vertx = Vertx.vertx();
  private final List<String> decisions = Collections.synchronizedList(new ArrayList<>());
  private TestScheduler scheduler;
  private ManualSteps steps;
  private LoopbackPath path;

  @BeforeMethod
  public void start() {
    decisions.clear();
    scheduler = new TestScheduler();
    steps = new ManualSteps();
    DecisionLog log = new DecisionLog(new KeyValueFormat(), decisions::add);
    path =
        new LoopbackPath(vertx, LoopbackSettings.DEFAULT, steps, log, scheduler, this::nowMillis);
    path.start();
  }

  @AfterMethod
  public void stop() {
    TestObserver<Void> stopped = path.stop(0).test();
    scheduler.triggerActions();
    stopped.awaitDone(10, TimeUnit.SECONDS);
  }

  @Test
  public void endsTheEnginesStreamWhenStreamingCallerLeaves() throws Exception {
    Caller caller = ask(STREAMED);
    steps.step();
    caller.readUntil("[drains-sofia@3]");
    caller.leave();
    path.engine(0).statistics().awaitCancelled(1);
    assertEquals(path.metrics().counter(MetricNames.DISCONNECTED_CALLERS).getCount(), 1);
    assertEquals(path.running().size(), 0);
  }

  @Test
  public void endsTheEnginesStreamWhenWaitingCallerLeaves() throws Exception {
    Caller caller = ask(WHOLE);
    path.engine(0).statistics().awaitAttempts(1);
    caller.leave();
    path.engine(0).statistics().awaitCancelled(1);
    assertEquals(path.metrics().counter(MetricNames.ANSWERS).getCount(), 0);
  }

  @Test
  public void letsRunningAnswersFinishAtStop() throws Exception {
    Caller caller = ask(STREAMED);
    steps.step();
    caller.readUntil("[drains-sofia@3]");
    TestObserver<Void> stopped = path.stop(BOUND_MILLIS).test();
    Caller late = ask(STREAMED);
    assertTrue(late.readAll().contains("urn:lentilhinge:problem:stopping"));
    stopped.assertNotComplete();
    for (int step = 1; step < 4; step++) {
      steps.step();
    }
    assertTrue(caller.readAll().contains("[DONE]"));
    stopped.awaitDone(10, TimeUnit.SECONDS).assertComplete();
  }

  @Test
  public void logsWhatStopCutsOffAtItsBound() throws Exception {
    ask(STREAMED);
    path.engine(0).statistics().awaitAttempts(1);
    TestObserver<Void> stopped = path.stop(BOUND_MILLIS).test();
    scheduler.advanceTimeBy(BOUND_MILLIS, TimeUnit.MILLISECONDS);
    stopped.awaitDone(10, TimeUnit.SECONDS).assertComplete();
    String last = "decision=refuse request=entry-1/1/1 caller=- adapter=- version=- endpoint=-";
    assertTrue(
        decisions.contains(last + " reason=\"interrupted by the stop timeout\" wait=-"),
        decisions.toString());
  }

  @Test
  public void waitsAtStopForBookingsWhoseCallerHasLeft() throws Exception {
    path.service().plan(ServiceFault.SILENT);
    Caller caller = new Caller(path.port(), LoopbackPath.WATER_KEY);
    caller.ask("/services/work-orders/orders", "{}", "Idempotency-Key: order-1");
    path.service().awaitRuns("order-1", 1);
    caller.leave();
    // The end of the connection came before these two, so that the gateway has seen it after them.
    Session session = new Session(path.port());
    session.get("/health/live");
    session.get("/health/live");
    TestObserver<Void> stopped = path.stop(BOUND_MILLIS).test();
    assertEquals(path.running().size(), 1);
    stopped.assertNotComplete();
    scheduler.advanceTimeBy(10_000, TimeUnit.MILLISECONDS);
    stopped.awaitDone(10, TimeUnit.SECONDS).assertComplete();
    assertTrue(decisions.toString().contains("unknown: no answer in time"), decisions.toString());
  }

  private Caller ask(String body) throws Exception {
    Caller caller = new Caller(path.port(), LoopbackPath.WATER_KEY);
    caller.ask(COMPLETIONS, body);
    return caller;
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
