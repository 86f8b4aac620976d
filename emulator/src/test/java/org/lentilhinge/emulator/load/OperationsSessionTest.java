package org.lentilhinge.emulator.load;

import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import org.approvaltests.Approvals;
import org.lentilhinge.emulator.engine.ManualStepTimer;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.KeyValueFormat;
import org.testng.annotations.Test;

/**
 * Tests the health, status and metrics responses for operators and the platform's load balancer.
 */
public class OperationsSessionTest {

  private final Vertx vertx = Vertx.vertx();

  @Test
  public void tellsHealthStatusAndMetrics() throws Exception {
    DecisionLog log = new DecisionLog(new KeyValueFormat(), line -> {});
    LoopbackHost host =
        new LoopbackHost(vertx, LoopbackSettings.DEFAULT, new ManualStepTimer(), log);
    host.start();
    Session session = new Session(host.port());
    session.get("/health/live");
    session.get("/health/ready");
    session.get("/status");
    host.inFlightRequests().drain();
    session.get("/health/ready");
    Approvals.verify(session.transcript());
    Session metrics = new Session(host.port());
    metrics.get("/metrics");
    assertTrue(metrics.transcript().contains("\ngateway_requests_running 0.0\n"));
    host.stop(0).blockingAwait();
  }
}
