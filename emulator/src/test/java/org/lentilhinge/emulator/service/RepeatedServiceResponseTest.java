package org.lentilhinge.emulator.service;

import static org.testng.Assert.assertEquals;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.lentilhinge.configuration.Deduplication;
import org.lentilhinge.emulator.proxy.RepeatedResponse;
import org.lentilhinge.emulator.proxy.RepeatingProxy;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.runtime.service.Execution;
import org.lentilhinge.runtime.service.HttpServiceClient;
import org.lentilhinge.runtime.service.ServiceAttempt;
import org.lentilhinge.runtime.service.ServiceAttemptResult;
import org.lentilhinge.runtime.service.ServiceClientSettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the client with a service that repeats its responses before the next one. */
public class RepeatedServiceResponseTest {

  private static final String KEY_HEADER = "Idempotency-Key";
  private static final ServiceClientSettings SETTINGS =
      new ServiceClientSettings(1_000, 10_000, 1_024, 1);

  private final Vertx vertx = Vertx.vertx();

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @DataProvider
  public static Object[][] calls() {
    return Arrays.stream(RepeatedResponse.values())
        .flatMap(
            form ->
                Stream.of(true, false)
                    .flatMap(
                        first ->
                            Stream.of(true, false)
                                .map(second -> new Object[] {form, first, second})))
        .toArray(Object[][]::new);
  }

  // Guards against giving a caller the repeated response to another call.
  @Test(dataProvider = "calls")
  public void callDoesNotGetRepeatedResponseToOtherCall(
      RepeatedResponse form, boolean firstRepeatable, boolean secondRepeatable) {
    ServiceServer service = new ServiceServer(vertx, Deduplication.NONE);
    HttpServiceClient client = client();
    int port = start(service, form);
    client.call(attempt(port, 1, firstRepeatable), () -> true).blockingGet();
    ServiceAttemptResult result =
        client.call(attempt(port, 2, secondRepeatable), () -> true).blockingGet();
    assertEquals(result.execution(), Execution.RAN);
    assertEquals(executedCall(result), "POST /orders/2");
  }

  // Guards against reporting a call as run because of the repeated response to another call.
  @Test(dataProvider = "calls")
  public void droppedCallIsNotReportedAsRun(
      RepeatedResponse form, boolean firstRepeatable, boolean secondRepeatable) {
    ServiceServer service = new ServiceServer(vertx, Deduplication.NONE);
    HttpServiceClient client = client();
    int port = start(service, form);
    client.call(attempt(port, 1, firstRepeatable), () -> true).blockingGet();
    service.planFault(ServiceFault.DROP);
    ServiceAttemptResult result =
        client.call(attempt(port, 2, secondRepeatable), () -> true).blockingGet();
    assertEquals(result.execution(), Execution.UNKNOWN);
    assertEquals(service.executions("order-2"), 0);
  }

  // Guards against giving a call that waited for a connection the repeated response to another.
  @Test(dataProvider = "calls")
  public void queuedCallDoesNotGetRepeatedResponse(
      RepeatedResponse form, boolean firstRepeatable, boolean secondRepeatable) {
    ServiceServer service = new ServiceServer(vertx, Deduplication.NONE);
    HttpServiceClient client = client();
    int port = start(service, form);
    List<String> calls =
        Single.zip(
                client.call(attempt(port, 1, firstRepeatable), () -> true),
                client.call(attempt(port, 2, secondRepeatable), () -> true),
                (first, second) -> List.of(executedCall(first), executedCall(second)))
            .blockingGet();
    assertEquals(calls, List.of("POST /orders/1", "POST /orders/2"));
  }

  private static String executedCall(ServiceAttemptResult result) {
    return result.response().orElseThrow().body().toJsonObject().getString("call");
  }

  private HttpServiceClient client() {
    return new HttpServiceClient(vertx, SETTINGS, new TestScheduler());
  }

  private int start(ServiceServer service, RepeatedResponse form) {
    int servicePort = service.start(0).blockingGet();
    return new RepeatingProxy(vertx, form, KEY_HEADER).start(servicePort).blockingGet();
  }

  private static ServiceAttempt attempt(int port, int number, boolean repeatable) {
    return new ServiceAttempt(
        new EndpointId("work-orders-1"),
        "127.0.0.1:" + port,
        "POST",
        "/orders/" + number,
        MultiMap.caseInsensitiveMultiMap().add(KEY_HEADER, "order-" + number),
        Buffer.buffer("{}"),
        repeatable);
  }
}
