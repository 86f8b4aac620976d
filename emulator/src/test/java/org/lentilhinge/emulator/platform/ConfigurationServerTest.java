package org.lentilhinge.emulator.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.reactivex.rxjava3.observers.TestObserver;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.runtime.platform.HostListing;
import org.lentilhinge.runtime.platform.HttpConfigurationService;
import org.lentilhinge.runtime.platform.HttpHostList;
import org.lentilhinge.runtime.platform.ListedEndpoint;
import org.lentilhinge.runtime.platform.PlatformException;
import org.lentilhinge.runtime.platform.PublishedValue;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the emulator and the client of the configuration service against each other. */
public class ConfigurationServerTest {

  private static final String KEY = "configuration/parts/a";
  private static final long LONG_WAIT_MILLIS = 60_000;
  private static final long TIMEOUT_MILLIS = 30_000;

  private Vertx vertx;
  private ConfigurationServer server;
  private HttpConfigurationService client;

  @BeforeMethod
  public void start() {
    vertx = Vertx.vertx();
    server = new ConfigurationServer(vertx);
    int port = server.start(0).blockingGet();
    client = new HttpConfigurationService(vertx.createHttpClient(), "127.0.0.1:" + port);
  }

  @AfterMethod
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test(timeOut = TIMEOUT_MILLIS)
  public void readsPublishedValue() {
    assertTrue(client.read(KEY).isEmpty().blockingGet());
    server.publish(KEY, "tešt");
    assertEquals(client.read(KEY).blockingGet(), new PublishedValue("tešt", 1));
    assertEquals(server.callCount(), 2);
  }

  @Test(timeOut = TIMEOUT_MILLIS)
  public void answersWatchWhenValueChanges() throws InterruptedException {
    server.publish(KEY, "one");
    TestObserver<PublishedValue> watch = client.watch(KEY, 1, LONG_WAIT_MILLIS).test();
    // The response to a second watch shows that the server has received the first one.
    assertEquals(client.watch(KEY, 0, LONG_WAIT_MILLIS).blockingGet().text(), "one");
    assertFalse(watch.await(0, TimeUnit.MILLISECONDS));
    server.publish(KEY, "two");
    watch.await().assertValue(new PublishedValue("two", 2));
  }

  @Test(timeOut = TIMEOUT_MILLIS)
  public void reportsUnchangedValue() {
    server.publish(KEY, "one");
    assertTrue(client.watch(KEY, 1, 1).isEmpty().blockingGet());
  }

  @Test(timeOut = TIMEOUT_MILLIS)
  public void failsDuringOutage() throws InterruptedException {
    server.publish(KEY, "one");
    TestObserver<PublishedValue> watch = client.watch(KEY, 1, LONG_WAIT_MILLIS).test();
    assertEquals(client.read(KEY).blockingGet().text(), "one");
    server.setUnavailable(true);
    watch.await().assertError(PlatformException.class);
    client.read(KEY).test().await().assertError(PlatformException.class);
    server.setUnavailable(false);
    assertEquals(client.read(KEY).blockingGet().text(), "one");
  }

  @Test(timeOut = TIMEOUT_MILLIS)
  public void servesStaleValues() {
    server.publish(KEY, "one");
    server.setStale(true);
    server.publish(KEY, "two");
    assertEquals(client.read(KEY).blockingGet(), new PublishedValue("one", 1));
    server.setStale(false);
    assertEquals(client.read(KEY).blockingGet(), new PublishedValue("two", 2));
  }

  @Test(timeOut = TIMEOUT_MILLIS)
  public void listsHostsAndEndpoints() throws InterruptedException {
    HostListServer list = new HostListServer(vertx);
    int port = list.start(0).blockingGet();
    HostListing listing =
        new HostListing(
            List.of(new ListedHost(new HostId("a"), new ZoneId("sofia-1"), "127.0.0.1:1", false)),
            List.of(new ListedEndpoint(new EndpointId("engine-1"), true)));
    list.setListing(listing);
    HttpHostList reader = new HttpHostList(vertx.createHttpClient(), "127.0.0.1:" + port);
    assertEquals(reader.read().blockingGet(), listing);
    list.setUnavailable(true);
    reader.read().test().await().assertError(PlatformException.class);
  }
}
