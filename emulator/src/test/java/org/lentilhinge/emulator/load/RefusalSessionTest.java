package org.lentilhinge.emulator.load;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.approvaltests.Approvals;
import org.lentilhinge.configuration.Deduplication;
import org.lentilhinge.emulator.engine.ManualStepTimer;
import org.lentilhinge.emulator.engine.StreamFault;
import org.lentilhinge.emulator.service.ServiceFault;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.KeyValueFormat;
import org.lentilhinge.runtime.gateway.GatewaySettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the responses to requests that are refused or fail, against golden files. */
public class RefusalSessionTest {

  private static final String AUTHORIZATION = "Authorization";
  private static final String WATER = "Bearer " + LoopbackHost.WATER_KEY;
  private static final String COMPLETIONS = "/v1/completions";
  private static final String VALID_BODY = "{\"model\":\"reports\",\"prompt\":\"Crack at 12 m\"}";

  private final Vertx vertx = Vertx.vertx();
  private final List<String> decisions = Collections.synchronizedList(new ArrayList<>());
  private LoopbackHost host;
  private Session session;

  @BeforeMethod
  public void start() {
    decisions.clear();
    LoopbackSettings settings =
        new LoopbackSettings(
            1, 4, 1, Deduplication.NONE, new GatewaySettings("127.0.0.1", 0, 2_048, 1_024, 120));
    DecisionLog log = new DecisionLog(new KeyValueFormat(), decisions::add);
    host = new LoopbackHost(vertx, settings, new ManualStepTimer(), log);
    host.start();
    session = new Session(host.port());
  }

  @AfterMethod
  public void stop() {
    host.stop(0).blockingAwait();
  }

  @Test
  public void refusesMalformedBodies() throws Exception {
    session.post(COMPLETIONS, "{\"model\":", AUTHORIZATION, WATER);
    session.post(COMPLETIONS, "[1]", AUTHORIZATION, WATER);
    session.post(COMPLETIONS, "", AUTHORIZATION, WATER);
    session.post(COMPLETIONS, "{\"model\":7,\"prompt\":\"x\"}", AUTHORIZATION, WATER);
    session.post(COMPLETIONS, "{\"model\":\"reports\"}", AUTHORIZATION, WATER);
    session.post(
        COMPLETIONS, "{\"model\":\"reports\",\"prompt\":\"x\",\"n\":2}", AUTHORIZATION, WATER);
    session.post("/v1/chat/completions", "{\"messages\":[{}]}", AUTHORIZATION, WATER);
    verify();
  }

  @Test
  public void refusesWhatIsOverTheLimits() throws Exception {
    session.post(COMPLETIONS, "x".repeat(1_025), AUTHORIZATION, WATER);
    session.post(COMPLETIONS, VALID_BODY, AUTHORIZATION, "Bearer " + "x".repeat(2_048));
    verify();
  }

  @Test
  public void refusesUnknownCallers() throws Exception {
    session.post(COMPLETIONS, VALID_BODY, AUTHORIZATION, "Bearer wrong-key");
    session.post(COMPLETIONS, VALID_BODY);
    session.post(COMPLETIONS, VALID_BODY, AUTHORIZATION, "Basic d2F0ZXI6a2V5");
    verify();
  }

  @Test
  public void refusesRequestsThatNoRuleRoutes() throws Exception {
    session.post(COMPLETIONS, "{\"model\":\"unknown\",\"prompt\":\"x\"}", AUTHORIZATION, WATER);
    session.post(
        COMPLETIONS,
        "{\"prompt\":\"x\"}",
        AUTHORIZATION,
        WATER,
        "Lentilhinge-Attribute-Model",
        "reports");
    verify();
    assertEquals(host.engine(0).statistics().loads(), 0);
  }

  @Test
  public void refusesCallerOverItsConcurrency() throws Exception {
    Caller caller = new Caller(host.port(), LoopbackHost.WATER_KEY);
    caller.send(COMPLETIONS, "{\"model\":\"reports\",\"stream\":true,\"prompt\":\"x\"}");
    host.engine(0).statistics().awaitAttempts(1);
    session.post(COMPLETIONS, VALID_BODY, AUTHORIZATION, WATER);
    caller.disconnect();
    verify();
  }

  @Test
  public void refusesCallsOfServices() throws Exception {
    session.post("/services/unknown/orders", "{}", AUTHORIZATION, WATER);
    session.post(
        "/services/work-orders/orders", "{}", AUTHORIZATION, "Bearer " + LoopbackHost.COUNTER_KEY);
    session.post("/services/work-orders/orders", "{}", AUTHORIZATION, WATER);
    verify();
    assertEquals(host.service().executions(), 0);
  }

  @Test
  public void tellsWhetherFailedRequestsRan() throws Exception {
    host.engine(0).faults().failLoads(1);
    session.post(COMPLETIONS, VALID_BODY, AUTHORIZATION, WATER);
    host.engine(0).faults().planStreamFault(StreamFault.REFUSE, 0);
    session.post(COMPLETIONS, VALID_BODY, AUTHORIZATION, WATER);
    host.service().planFault(ServiceFault.RESET);
    order("order-1");
    host.service().stop().blockingAwait();
    order("order-2");
    host.service().start(0).blockingGet();
    assertEquals(host.service().executions("order-1"), 1);
    assertEquals(host.service().executions("order-2"), 0);
    verify();
  }

  @Test
  public void refusesUnknownPathsAndMethods() throws Exception {
    session.get("/v1/unknown");
    session.get(COMPLETIONS);
    verify();
  }

  private void order(String key) throws Exception {
    session.post(
        "/services/work-orders/orders", "{}", AUTHORIZATION, WATER, "Idempotency-Key", key);
  }

  private void verify() {
    String lines = String.join("\n", decisions);
    Approvals.verify(scrub(session.transcript() + "\n" + lines + "\n"));
  }

  private static String scrub(String text) {
    return text.replaceAll("127\\.0\\.0\\.1:\\d+", "127.0.0.1:PORT")
        .replaceAll("wait=\\d+ms", "wait=MILLIS");
  }
}
