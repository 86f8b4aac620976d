package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.published.DeclaredState;
import org.lentilhinge.published.EndpointListing;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests that the follower stays up to date after lost responses and compaction of the history. */
public class StoreFollowerTest {

  private static final long WAIT_SECONDS = 10;
  private static final long TICK_MILLIS = 10;

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static DeclaredState declared(long version, long revision) {
    ForwardConfiguration configuration =
        new ForwardConfiguration(
            new DeclaredVersion(version, new StoreRevision(0, version)),
            List.of(),
            Map.of(),
            ForwardLimits.DEFAULT);
    return new DeclaredState(Optional.of(configuration), List.of(), new StoreRevision(0, revision));
  }

  /** Records its calls and returns the scripted responses in order; later calls stay unanswered. */
  private static final class ScriptedStore implements PublishedStore {

    private final Queue<Future<DeclaredState>> responses = new ArrayDeque<>();
    private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();

    private Future<DeclaredState> respond(String call) {
      calls.add(call);
      return responses.isEmpty() ? Future.future(promise -> {}) : responses.remove();
    }

    @Override
    public Future<EndpointListing> listEndpoints() {
      return Future.future(promise -> {});
    }

    @Override
    public Future<DeclaredState> readDeclaredState() {
      return respond("complete");
    }

    @Override
    public Future<DeclaredState> awaitDeclaredState(StoreRevision revision, long waitMillis) {
      return respond("since " + revision.revision());
    }
  }

  /** Records the received configuration versions. */
  private static final class RecordingListener implements StoreListener {

    private final BlockingQueue<Long> versions = new LinkedBlockingQueue<>();

    @Override
    public void onRead(StoreRevision revision, long requestedAtMillis) {
      assertTrue(revision.revision() > 0);
    }

    @Override
    public void onListing(EndpointListing listing) {
      throw new AssertionError("unexpected listing of endpoints");
    }

    @Override
    public void onDeclaredState(DeclaredState declared, String source, long readMillis) {
      declared
          .configuration()
          .ifPresent(configuration -> versions.add(configuration.version().number()));
    }

    @Override
    public void onFailure(String data, String cause) {
      assertEquals(data, "declarations");
    }
  }

  private RecordingListener follow(ScriptedStore store) {
    RecordingListener listener = new RecordingListener();
    HostContext context =
        new HostContext(
            vertx,
            ForwardFixture.settings(),
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            new EventLog(new PrintStream(PrintStream.nullOutputStream()), () -> 0),
            new MetricRegistry());
    HostState state = new HostState(context, ForwardFixture.overlay(ForwardFixture.settings()));
    ZoneReader alone = new ZoneReader(context, state, (host, message) -> {});
    vertx.runOnContext(
        unused -> {
          StoreFollower follower =
              new StoreFollower(
                  task -> vertx.runOnContext(ignored -> task.run()),
                  context.clock(),
                  store,
                  listener,
                  alone,
                  new Random(1));
          vertx.setPeriodic(TICK_MILLIS, id -> follower.tick());
        });
    return listener;
  }

  private static String next(ScriptedStore store) throws InterruptedException {
    return store.calls.poll(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  public void awaitsChangesAfterReadRevision() throws InterruptedException {
    ScriptedStore store = new ScriptedStore();
    store.responses.add(Future.succeededFuture(declared(3, 40)));
    store.responses.add(Future.succeededFuture(declared(7, 55)));
    RecordingListener listener = follow(store);
    assertEquals(next(store), "complete");
    assertEquals(next(store), "since 40");
    assertEquals(next(store), "since 55");
    assertEquals(listener.versions.poll(WAIT_SECONDS, TimeUnit.SECONDS), Long.valueOf(3));
    assertEquals(listener.versions.poll(WAIT_SECONDS, TimeUnit.SECONDS), Long.valueOf(7));
  }

  @Test
  public void readsCompleteStateAfterCompactionAndFailures() throws InterruptedException {
    ScriptedStore store = new ScriptedStore();
    store.responses.add(Future.succeededFuture(declared(3, 40)));
    store.responses.add(
        Future.failedFuture(new HistoryCompactedException(new StoreRevision(0, 40))));
    store.responses.add(Future.failedFuture("timed out waiting for response"));
    store.responses.add(Future.succeededFuture(declared(9, 80)));
    RecordingListener listener = follow(store);
    assertEquals(next(store), "complete");
    assertEquals(next(store), "since 40");
    assertEquals(next(store), "complete");
    assertEquals(next(store), "complete");
    assertEquals(next(store), "since 80");
    assertTrue(listener.versions.contains(9L));
  }
}
