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
import org.lentilhinge.runtime.service.ServiceClientSettings;
import org.lentilhinge.runtime.service.ServiceReply;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Compares the execution that the client reports for a call with how often the service executed it.
 */
public class ServiceClientTest {

  private static final String KEY = "order-1";
  private static final int ANSWER_BYTES = 256;

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
    ServiceClientSettings settings = new ServiceClientSettings(1_000, 10_000, ANSWER_BYTES, 1);
    client = new HttpServiceClient(vertx, settings, scheduler);
  }

  @AfterMethod
  public void stop() {
    service.stop().blockingAwait();
  }

  @Test
  public void saysRanOfAnAnswer() {
    ServiceReply reply = call(false, () -> true);
    assertEquals(reply.execution(), Execution.RAN);
    assertEquals(reply.answer().orElseThrow().status(), 201);
    assertEquals(service.runs(KEY), 1);
  }

  @Test
  public void saysNotRunOfRefusedConnection() {
    service.stop().blockingAwait();
    assertEquals(call(false, () -> true).execution(), Execution.NOT_RUN);
    service.start(0).blockingGet();
  }

  @Test
  public void saysNotRunOfCallWithheldBeforeTheWrite() {
    assertEquals(call(false, () -> false).execution(), Execution.NOT_RUN);
    assertEquals(service.runs(), 0);
  }

  @Test
  public void saysUnknownOfSilentService() throws InterruptedException {
    service.plan(ServiceFault.SILENT);
    TestObserver<ServiceReply> observer = client.call(attempt(false), () -> true).test();
    service.awaitRuns(KEY, 1);
    scheduler.advanceTimeBy(9_999, TimeUnit.MILLISECONDS);
    observer.assertNotComplete();
    scheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
    observer.awaitCount(1);
    assertEquals(observer.values().get(0).execution(), Execution.UNKNOWN);
    assertEquals(service.runs(KEY), 1);
  }

  @DataProvider
  public static Object[][] breaks() {
    return new Object[][] {
      {ServiceFault.RESET, true, 1},
      {ServiceFault.RESET, false, 1},
      {ServiceFault.PARTIAL, true, 1},
      {ServiceFault.PARTIAL, false, 1},
      {ServiceFault.DROP, true, 0},
      {ServiceFault.DROP, false, 0},
    };
  }

  @Test(dataProvider = "breaks")
  public void saysUnknownOfBrokenConnectionAndRepeatsNothing(
      ServiceFault fault, boolean repeatable, int runs) {
    service.plan(fault);
    assertEquals(call(repeatable, () -> true).execution(), Execution.UNKNOWN);
    assertEquals(service.runs(KEY), runs);
  }

  @Test
  public void followsNoRedirect() {
    service.plan(ServiceFault.REDIRECT);
    ServiceReply reply = call(false, () -> true);
    assertEquals(reply.answer().orElseThrow().status(), 307);
    assertEquals(service.runs(), 1);
  }

  @Test
  public void opensConnectionForEachCallThatMayNotBeRepeated() {
    assertEquals(call(false, () -> true).execution(), Execution.RAN);
    assertEquals(call(false, () -> true).execution(), Execution.RAN);
    assertEquals(service.connections(), 2);
  }

  @Test
  public void isNotMisledByConnectionThatTheServiceHasClosed() {
    service.plan(ServiceFault.CLOSE_IDLE);
    assertEquals(call(false, () -> true).execution(), Execution.RAN);
    assertEquals(call(false, () -> true).execution(), Execution.RAN);
    assertEquals(service.runs(KEY), 2);
  }

  @Test
  public void usesConnectionAgainForRepeatableCalls() {
    assertEquals(call(true, () -> true).execution(), Execution.RAN);
    assertEquals(call(true, () -> true).execution(), Execution.RAN);
    assertEquals(service.connections(), 1);
  }

  @Test
  public void saysUnknownOfAnAnswerOverTheLimit() {
    service.setPadding(ANSWER_BYTES);
    ServiceReply reply = call(false, () -> true);
    assertEquals(reply.execution(), Execution.UNKNOWN);
    assertTrue(reply.answer().isEmpty());
    assertEquals(service.runs(KEY), 1);
  }

  private ServiceReply call(boolean repeatable, BooleanSupplier mayWrite) {
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
