package org.lentilhinge.runtime.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.runtime.engine.EngineClientSettings;
import org.lentilhinge.runtime.engine.VllmEngineClient;
import org.lentilhinge.runtime.forward.FloodingEndpoint;
import org.lentilhinge.runtime.service.Execution;
import org.lentilhinge.runtime.service.HttpServiceClient;
import org.lentilhinge.runtime.service.ServiceAttempt;
import org.lentilhinge.runtime.service.ServiceAttemptResult;
import org.lentilhinge.runtime.service.ServiceClientSettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests that the clients of the completions interface do not keep bodies without end. */
public class EndlessBodyTest {

  /** The longest body, and what the buffers of the operating system hold. */
  private static final long MAXIMUM_ACCEPTED_BYTES = 25_165_824;

  private static final long WAIT_SECONDS = 10;

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private FloodingEndpoint endless() {
    String filler = "x".repeat(10_000);
    return new FloodingEndpoint(
        vertx,
        (endpoint, arrival) ->
            endpoint.flood(arrival.socket(), "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\n", filler));
  }

  private void assertCut(FloodingEndpoint endless, Completable call) throws InterruptedException {
    expectThrows(
        RuntimeException.class, () -> call.timeout(WAIT_SECONDS, TimeUnit.SECONDS).blockingAwait());
    assertTrue(endless.awaitClosed());
    long accepted = endless.acceptedBytes();
    assertTrue(accepted <= MAXIMUM_ACCEPTED_BYTES, accepted + " bytes");
    assertFalse(endless.connections() > 1);
  }

  // A host kept what the configuration service sent without end, as long as bytes came.
  @Test
  public void endlessConfigurationIsCut() throws InterruptedException {
    FloodingEndpoint endless = endless();
    HttpConfigurationService service =
        new HttpConfigurationService(vertx.createHttpClient(), endless.address());
    assertCut(endless, service.read("configuration").ignoreElement());
  }

  // A host kept what the host list sent without end, as long as bytes came.
  @Test
  public void endlessHostListIsCut() throws InterruptedException {
    FloodingEndpoint endless = endless();
    HttpHostList hosts = new HttpHostList(vertx.createHttpClient(), endless.address());
    assertCut(endless, hosts.read().ignoreElement());
  }

  // A host kept what an engine sent in reply to a short request until the timeout for orders.
  @Test
  public void endlessEngineReportIsCut() throws InterruptedException {
    FloodingEndpoint endless = endless();
    VllmEngineClient client =
        new VllmEngineClient(
            vertx,
            EngineClientSettings.DEFAULT,
            Schedulers.computation(),
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            new MetricRegistry());
    assertCut(endless, client.report(new EndpointId("e"), endless.address()).ignoreElement());
  }

  // A service whose response has no end; its call may have been executed.
  @Test
  public void endlessServiceResponseIsCut() throws InterruptedException {
    FloodingEndpoint endless = endless();
    HttpServiceClient client =
        new HttpServiceClient(vertx, ServiceClientSettings.DEFAULT, Schedulers.computation());
    ServiceAttempt attempt =
        new ServiceAttempt(
            new EndpointId("s"),
            endless.address(),
            "POST",
            "/",
            MultiMap.caseInsensitiveMultiMap(),
            Buffer.buffer("x"),
            false);
    ServiceAttemptResult result = client.call(attempt, () -> true).blockingGet();
    assertEquals(result.execution(), Execution.UNKNOWN);
    assertTrue(endless.awaitClosed());
    long accepted = endless.acceptedBytes();
    assertTrue(accepted <= MAXIMUM_ACCEPTED_BYTES, accepted + " bytes");
  }
}
