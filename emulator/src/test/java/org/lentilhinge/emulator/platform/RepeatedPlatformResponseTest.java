package org.lentilhinge.emulator.platform;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.PoolOptions;
import java.util.Arrays;
import java.util.List;
import org.lentilhinge.emulator.proxy.RepeatedResponse;
import org.lentilhinge.emulator.proxy.RepeatingProxy;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.runtime.platform.HostListing;
import org.lentilhinge.runtime.platform.HttpConfigurationService;
import org.lentilhinge.runtime.platform.HttpHostList;
import org.lentilhinge.runtime.platform.ListedEndpoint;
import org.lentilhinge.runtime.platform.PublishedValue;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the platform's clients with services that repeat their responses before the next one. */
public class RepeatedPlatformResponseTest {

  private static final String ID_HEADER = "X-Request-Id";
  private static final long TIMEOUT_MILLIS = 30_000;

  private Vertx vertx;
  private HttpClient client;

  @BeforeMethod
  public void start() {
    vertx = Vertx.vertx();
    client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(1));
  }

  @AfterMethod
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @DataProvider
  public static Object[][] forms() {
    return Arrays.stream(RepeatedResponse.values())
        .map(form -> new Object[] {form})
        .toArray(Object[][]::new);
  }

  // Guards against reading the repeated value of one key as the value of another one.
  @Test(dataProvider = "forms", timeOut = TIMEOUT_MILLIS)
  public void valueIsNotReadFromRepeatedResponse(RepeatedResponse form) {
    ConfigurationServer server = new ConfigurationServer(vertx);
    String address = repeat(form, server.start(0).blockingGet());
    HttpConfigurationService service = new HttpConfigurationService(client, address);
    server.publish("configuration/a", "one");
    server.publish("configuration/b", "two");
    assertEquals(service.read("configuration/a").blockingGet(), new PublishedValue("one", 1));
    assertEquals(service.read("configuration/b").blockingGet(), new PublishedValue("two", 2));
  }

  // Guards against reading a former list of hosts once more after the list has changed.
  @Test(dataProvider = "forms", timeOut = TIMEOUT_MILLIS)
  public void listIsNotReadFromRepeatedResponse(RepeatedResponse form) {
    HostListServer server = new HostListServer(vertx);
    HttpHostList hosts = new HttpHostList(client, repeat(form, server.start(0).blockingGet()));
    assertEquals(hosts.read().blockingGet().endpoints(), List.of());
    List<ListedEndpoint> endpoints = List.of(new ListedEndpoint(new EndpointId("engine-1"), true));
    server.setListing(new HostListing(List.of(), endpoints));
    assertEquals(hosts.read().blockingGet().endpoints(), endpoints);
  }

  private String repeat(RepeatedResponse form, int port) {
    return "127.0.0.1:" + new RepeatingProxy(vertx, form, ID_HEADER).start(port).blockingGet();
  }
}
