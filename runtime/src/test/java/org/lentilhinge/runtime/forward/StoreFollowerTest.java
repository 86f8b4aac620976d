package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
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
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests that the follower stays up to date after lost responses and a lost change history. */
public class StoreFollowerTest {

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

  private static Declared declared(long version, long revision) {
    ForwardConfiguration configuration =
        new ForwardConfiguration(version, List.of(), Map.of(), ForwardLimits.DEFAULT);
    return new Declared(Optional.of(configuration), List.of(), revision);
  }

  /** A store that records its calls and responds by a script, and not at all after its end. */
  private static final class ScriptedStore implements PublishedStore {

    private final Queue<Future<Declared>> answers = new ArrayDeque<>();
    private final BlockingQueue<String> asked = new LinkedBlockingQueue<>();

    private Future<Declared> answer(String call) {
      asked.add(call);
      return answers.isEmpty() ? Future.future(promise -> {}) : answers.remove();
    }

    @Override
    public Future<EndpointListing> endpoints() {
      return Future.future(promise -> {});
    }

    @Override
    public Future<Declared> declared() {
      return answer("whole");
    }

    @Override
    public Future<Declared> declaredSince(long revision, long waitMillis) {
      return answer("since " + revision);
    }
  }

  /** Records the received configuration versions. */
  private static final class Heard implements StoreListener {

    private final BlockingQueue<Long> versions = new LinkedBlockingQueue<>();

    @Override
    public void listed(EndpointListing listing) {
      throw new AssertionError("no listing was answered");
    }

    @Override
    public void declared(Declared declared) {
      declared.configuration().ifPresent(configuration -> versions.add(configuration.version()));
    }

    @Override
    public void failed(String reading, String cause) {
      assertEquals(reading, "declarations");
    }
  }

  private Heard follow(ScriptedStore store) {
    Heard listener = new Heard();
    vertx.runOnContext(nothing -> new StoreFollower(vertx, store, listener, new Random(1)).start());
    return listener;
  }

  private static String next(ScriptedStore store) throws InterruptedException {
    return store.asked.poll(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  public void awaitsChangesFromTheRevisionThatWasRead() throws InterruptedException {
    ScriptedStore store = new ScriptedStore();
    store.answers.add(Future.succeededFuture(declared(3, 40)));
    store.answers.add(Future.succeededFuture(declared(7, 55)));
    Heard listener = follow(store);
    assertEquals(next(store), "whole");
    assertEquals(next(store), "since 40");
    assertEquals(next(store), "since 55");
    assertEquals(listener.versions.poll(WAIT_SECONDS, TimeUnit.SECONDS), Long.valueOf(3));
    assertEquals(listener.versions.poll(WAIT_SECONDS, TimeUnit.SECONDS), Long.valueOf(7));
  }

  @Test
  public void readsTheWholeAgainAfterLostHistoryAndLostAnswers() throws InterruptedException {
    ScriptedStore store = new ScriptedStore();
    store.answers.add(Future.succeededFuture(declared(3, 40)));
    store.answers.add(Future.failedFuture(new HistoryLostException(40)));
    store.answers.add(Future.failedFuture("timed out waiting for response"));
    store.answers.add(Future.succeededFuture(declared(9, 80)));
    Heard listener = follow(store);
    assertEquals(next(store), "whole");
    assertEquals(next(store), "since 40");
    assertEquals(next(store), "whole");
    assertEquals(next(store), "whole");
    assertEquals(next(store), "since 80");
    assertTrue(listener.versions.contains(9L));
  }
}
