package org.lentilhinge.runtime.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.runtime.engine.CompletionKind;
import org.lentilhinge.runtime.engine.EngineClientSettings;
import org.lentilhinge.runtime.engine.EngineException;
import org.lentilhinge.runtime.engine.EngineFailure;
import org.lentilhinge.runtime.engine.EngineRequest;
import org.lentilhinge.runtime.engine.ResumePoint;
import org.lentilhinge.runtime.engine.VllmEngineClient;
import org.lentilhinge.runtime.forward.FloodingEndpoint;
import org.lentilhinge.runtime.service.Execution;
import org.lentilhinge.runtime.service.HttpServiceClient;
import org.lentilhinge.runtime.service.ServiceAttempt;
import org.lentilhinge.runtime.service.ServiceAttemptResult;
import org.lentilhinge.runtime.service.ServiceClientSettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the clients of the completions interface refuse responses with an invalid status. */
public class ClientStatusTest {

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

  @DataProvider
  public Object[][] invalid() {
    return List.of("000", "099", "150", "600", "999", "20", "2000").stream()
        .map(status -> new Object[] {status})
        .toArray(Object[][]::new);
  }

  private FloodingEndpoint endpoint(String status) {
    return new FloodingEndpoint(
        vertx,
        (endpoint, arrival) ->
            arrival
                .socket()
                .write(
                    "HTTP/1.1 "
                        + status
                        + " OK\r\nETag: \"1\"\r\nContent-Length: 2\r\n"
                        + "Connection: keep-alive\r\n\r\n[]"));
  }

  private VllmEngineClient engineClient() {
    return new VllmEngineClient(
        vertx,
        EngineClientSettings.DEFAULT,
        Schedulers.computation(),
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
        new MetricRegistry());
  }

  private static Throwable failure(Completable call) {
    return call.timeout(WAIT_SECONDS, TimeUnit.SECONDS)
        .<Throwable>materialize()
        .blockingGet()
        .getError();
  }

  private static void assertBroken(Throwable failure) {
    assertEquals(((EngineException) failure).failure(), EngineFailure.BROKEN, failure.getMessage());
  }

  // A response with the status 000 counted as the engine's, and its connection was used again.
  @Test(dataProvider = "invalid")
  public void engineReplyWithInvalidStatusIsRefused(String status) throws InterruptedException {
    FloodingEndpoint engine = endpoint(status);
    assertBroken(
        failure(engineClient().report(new EndpointId("e"), engine.address()).ignoreElement()));
    assertTrue(engine.awaitClosed());
  }

  // An invalid status of a stream counted as an error that the engine itself reported.
  @Test(dataProvider = "invalid")
  public void engineStreamWithInvalidStatusIsRefused(String status) throws InterruptedException {
    FloodingEndpoint engine = endpoint(status);
    EngineRequest request =
        new EngineRequest(
            new EndpointId("e"),
            engine.address(),
            new AttemptId(new RequestId(new HostIncarnation(new HostId("h"), 1), 1), 1),
            new AdapterVersion(new AdapterId("a"), 1),
            Urgency.NORMAL,
            CompletionKind.TEXT,
            new JsonObject(),
            ResumePoint.START);
    assertBroken(failure(engineClient().run(request, () -> true).ignoreElements()));
    assertTrue(engine.awaitClosed());
  }

  // A caller of a service received the status 000 as the response to its call.
  @Test(dataProvider = "invalid")
  public void serviceResponseWithInvalidStatusIsUnknown(String status) throws InterruptedException {
    FloodingEndpoint service = endpoint(status);
    ServiceAttempt attempt =
        new ServiceAttempt(
            new EndpointId("s"),
            service.address(),
            "POST",
            "/",
            MultiMap.caseInsensitiveMultiMap(),
            Buffer.buffer("x"),
            false);
    ServiceAttemptResult result =
        new HttpServiceClient(vertx, ServiceClientSettings.DEFAULT, Schedulers.computation())
            .call(attempt, () -> true)
            .blockingGet();
    assertEquals(result.execution(), Execution.UNKNOWN, result.detail());
    assertTrue(result.response().isEmpty());
    assertTrue(service.awaitClosed());
  }

  // The bodies of responses with an invalid status were read before they were refused.
  @Test(dataProvider = "invalid")
  public void platformResponseWithInvalidStatusIsRefused(String status)
      throws InterruptedException {
    FloodingEndpoint platform = endpoint(status);
    Throwable values =
        failure(
            new HttpConfigurationService(vertx.createHttpClient(), platform.address())
                .read("configuration")
                .ignoreElement());
    assertTrue(values.getCause().getMessage().contains("invalid status"), values.getMessage());
    Throwable hosts =
        failure(
            new HttpHostList(vertx.createHttpClient(), platform.address()).read().ignoreElement());
    assertTrue(hosts.getCause().getMessage().contains("invalid status"), hosts.getMessage());
    assertTrue(platform.awaitClosed());
  }
}
