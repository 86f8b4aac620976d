package org.lentilhinge.emulator.load;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.approvaltests.Approvals;
import org.lentilhinge.emulator.engine.FixedDelayStepTimer;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.KeyValueFormat;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests complete sessions of callers against golden files. */
public class CompletionSessionTest {

  private static final String AUTHORIZATION = "Authorization";
  private static final String WATER = "Bearer " + LoopbackHost.WATER_KEY;

  private final Vertx vertx = Vertx.vertx();
  private final List<String> decisions = Collections.synchronizedList(new ArrayList<>());
  private LoopbackHost host;
  private Session session;

  @BeforeMethod
  public void start() {
    decisions.clear();
    host =
        new LoopbackHost(
            vertx,
            LoopbackSettings.DEFAULT,
            new FixedDelayStepTimer(vertx, 0),
            new DecisionLog(new KeyValueFormat(), decisions::add));
    host.start();
    session = new Session(host.port());
  }

  @AfterMethod
  public void stop() {
    host.stop(0).blockingAwait();
  }

  @Test
  public void streamsAnAnswer() throws Exception {
    session.post(
        "/v1/chat/completions",
        "{\"model\":\"reports\",\"stream\":true,\"max_tokens\":4,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"Crack at 12 m\"}]}",
        AUTHORIZATION,
        WATER);
    Approvals.verify(session.transcript());
  }

  @Test
  public void answersWhole() throws Exception {
    session.post(
        "/v1/completions",
        "{\"model\":\"reports\",\"max_tokens\":5,\"prompt\":\"Crack at 12 m\"}",
        AUTHORIZATION,
        WATER);
    Approvals.verify(session.transcript());
  }

  @Test
  public void booksOnce() throws Exception {
    session.post(
        "/services/work-orders/orders",
        "{\"street\":\"Vitosha 1\"}",
        AUTHORIZATION,
        WATER,
        "Content-Type",
        "application/json",
        "Idempotency-Key",
        "order-1");
    assertEquals(host.service().executions("order-1"), 1);
    Approvals.verify(session.transcript() + "\n" + decisions.get(0) + "\n");
  }
}
