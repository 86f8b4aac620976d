package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lentilhinge.permit.AdapterOrder;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/**
 * Tests the first order of an idle owner while another part of the network may act as the majority,
 * too.
 */
public class ContestableOrderTest {

  /** The time after which lost hosts count as ended, with some margin, in milliseconds. */
  private static final long LOST_MILLIS = 40_000;

  /** The age of a report and the way of an order of another part, in milliseconds. */
  private static final long STALE_ORDER_MILLIS = 1_000;

  private static final AdapterOrder UNLOAD = new AdapterOrder(false, "m", "a", 0);
  private static final AdapterOrder LOAD = new AdapterOrder(true, "m", "x", 0);

  private final Vertx vertx = Vertx.vertx();
  private final Context loop = vertx.getOrCreateContext();

  /** Closes the event loops. */
  @AfterClass
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Runs a test body on the event loop, with a host that owns an engine and lost all others. */
  private void onLoop(Consumer<OwnedEngineFixture> body) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(
        unused -> {
          try {
            OwnedEngineFixture fixture = new OwnedEngineFixture(vertx);
            fixture.adapters.put("a", 0L);
            fixture.remainingMillis = 15_000;
            fixture.loseOtherHosts();
            run(fixture, LOST_MILLIS);
            assertTrue(fixture.runner.isOwner());
            body.accept(fixture);
            done.complete(null);
          } catch (AssertionError | RuntimeException failure) {
            done.completeExceptionally(failure);
          }
        });
    done.join();
  }

  private static void run(OwnedEngineFixture fixture, long millis) {
    for (long waited = 0; waited < millis; waited += 50) {
      fixture.overlay.onTick(fixture.now.get());
      fixture.advance(50);
    }
  }

  // Guards against a load that an engine accepts of two hosts, as an equal one is under way.
  @Test
  public void loadFollowsAnUnloadThatTheEngineAcceptsOfOneHostOnly() {
    onLoop(
        fixture -> {
          fixture.orderResult = OrderResult.HOLDS;
          fixture.submit("x");
          assertEquals(fixture.orders, List.of(UNLOAD));
          fixture.orderCount = 8;
          run(fixture, STALE_ORDER_MILLIS);
          assertEquals(fixture.orders, List.of(UNLOAD));
          run(fixture, STALE_ORDER_MILLIS);
          assertEquals(fixture.orders, List.of(UNLOAD, LOAD));
        });
  }

  // Guards against a host that goes on ordering after the other part's order came first.
  @Test
  public void refusedUnloadIsFollowedByNoLoad() {
    onLoop(
        fixture -> {
          fixture.orderResult = OrderResult.CONFLICT;
          fixture.submit("x");
          fixture.orderCount = 8;
          run(fixture, 2 * STALE_ORDER_MILLIS);
          assertEquals(fixture.orders, List.of(UNLOAD));
        });
  }
}
