package org.lentilhinge.emulator.service;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.lentilhinge.configuration.Deduplication;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.runtime.service.Execution;
import org.lentilhinge.runtime.service.HttpServiceClient;
import org.lentilhinge.runtime.service.ServiceAttempt;
import org.lentilhinge.runtime.service.ServiceAttemptResult;
import org.lentilhinge.runtime.service.ServiceClientSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Compares the execution that the client reports for a call with how often the service executed it.
 */
public class ServiceClientTest {

  private static final String KEY = "order-1";
  private static final int MAXIMUM_RESPONSE_BYTES = 256;

  private final Vertx vertx = Vertx.vertx();
  private TestScheduler scheduler;
  private ServiceServer service;
  private HttpServiceClient client;
  private int port;

  @BeforeMethod
  public void start() {
    scheduler = new TestScheduler();
    service = new ServiceServer(vertx, Deduplication.NONE);
    port = service.start(0).blockingGet();
    ServiceClientSettings settings =
        new ServiceClientSettings(1_000, 10_000, MAXIMUM_RESPONSE_BYTES, 1);
    client = new HttpServiceClient(vertx, settings, scheduler);
  }

  @AfterMethod
  public void stop() {
    service.stop().blockingAwait();
  }

  @Test
  public void reportsRanForResponse() {
    ServiceAttemptResult result = call(false, () -> true);
    assertEquals(result.execution(), Execution.RAN);
    assertEquals(result.response().orElseThrow().status(), 201);
    assertEquals(service.executions(KEY), 1);
  }

  @Test
  public void reportsNotRunForRefusedConnection() {
    service.stop().blockingAwait();
    assertEquals(call(false, () -> true).execution(), Execution.NOT_RUN);
    service.start(0).blockingGet();
  }

  @Test
  public void reportsNotRunForCallWithheldBeforeWrite() {
    assertEquals(call(false, () -> false).execution(), Execution.NOT_RUN);
    assertEquals(service.executions(), 0);
  }

  @Test
  public void reportsUnknownForSilentService() throws InterruptedException {
    service.planFault(ServiceFault.SILENT);
    TestObserver<ServiceAttemptResult> observer = client.call(attempt(false), () -> true).test();
    service.awaitExecutions(KEY, 1);
    scheduler.advanceTimeBy(9_999, TimeUnit.MILLISECONDS);
    observer.assertNotComplete();
    scheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
    observer.awaitCount(1);
    assertEquals(observer.values().get(0).execution(), Execution.UNKNOWN);
    assertEquals(service.executions(KEY), 1);
  }

  @DataProvider
  public static Object[][] brokenConnections() {
    return new Object[][] {
      {ServiceFault.RESET, true, 1},
      {ServiceFault.RESET, false, 1},
      {ServiceFault.PARTIAL, true, 1},
      {ServiceFault.PARTIAL, false, 1},
      {ServiceFault.DROP, true, 0},
      {ServiceFault.DROP, false, 0},
    };
  }

  @Test(dataProvider = "brokenConnections")
  public void reportsUnknownForBrokenConnectionWithoutRetry(
      ServiceFault fault, boolean repeatable, int runs) {
    service.planFault(fault);
    assertEquals(call(repeatable, () -> true).execution(), Execution.UNKNOWN);
    assertEquals(service.executions(KEY), runs);
  }

  @Test
  public void doesNotFollowRedirects() {
    service.planFault(ServiceFault.REDIRECT);
    ServiceAttemptResult result = call(false, () -> true);
    assertEquals(result.response().orElseThrow().status(), 307);
    assertEquals(service.executions(), 1);
  }

  @Test
  public void opensNewConnectionForEachUnrepeatableCall() {
    assertEquals(call(false, () -> true).execution(), Execution.RAN);
    assertEquals(call(false, () -> true).execution(), Execution.RAN);
    assertEquals(service.connections(), 2);
  }

  @Test
  public void succeedsAfterServiceClosedIdleConnection() {
    service.planFault(ServiceFault.CLOSE_IDLE);
    assertEquals(call(false, () -> true).execution(), Execution.RAN);
    assertEquals(call(false, () -> true).execution(), Execution.RAN);
    assertEquals(service.executions(KEY), 2);
  }

  @Test
  public void opensNewConnectionForEachRepeatableCall() {
    assertEquals(call(true, () -> true).execution(), Execution.RAN);
    assertEquals(call(true, () -> true).execution(), Execution.RAN);
    assertEquals(service.connections(), 2);
  }

  @Test
  public void reportsUnknownForOversizedResponse() {
    service.setPadding(MAXIMUM_RESPONSE_BYTES);
    ServiceAttemptResult result = call(false, () -> true);
    assertEquals(result.execution(), Execution.UNKNOWN);
    assertTrue(result.response().isEmpty());
    assertEquals(service.executions(KEY), 1);
  }

  private ServiceAttemptResult call(boolean repeatable, BooleanSupplier mayWrite) {
    return client.call(attempt(repeatable), mayWrite).blockingGet();
  }

  private ServiceAttempt attempt(boolean repeatable) {
    return new ServiceAttempt(
        new EndpointId("work-orders-1"),
        "127.0.0.1:" + port,
        "POST",
        "/orders",
        MultiMap.caseInsensitiveMultiMap().add("Idempotency-Key", KEY),
        Buffer.buffer("{}"),
        repeatable);
  }
}
