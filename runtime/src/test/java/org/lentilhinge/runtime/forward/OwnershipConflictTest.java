package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lentilhinge.permit.EngineStatus;
import org.lentilhinge.permit.OwnershipObjection;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Tests that a host owns an engine on the word of the other hosts only, on a manual clock. */
public class OwnershipConflictTest {

  private static final String OTHER = "10.0.0.2";

  private final Vertx vertx = Vertx.vertx();
  private final Context loop = vertx.getOrCreateContext();

  /** Closes the event loops. */
  @AfterClass
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void run(Consumer<OwnedEngineFixture> body) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(
        unused -> {
          try {
            body.accept(new OwnedEngineFixture(vertx));
            done.complete(null);
          } catch (AssertionError | RuntimeException failure) {
            done.completeExceptionally(failure);
          }
        });
    done.join();
  }

  // A host that had counts of an engine but no claim yet took it over beside its owner.
  @Test
  public void countsOfOtherHostsAloneDoNotGrantAnEngine() {
    run(
        fixture -> {
          fixture.counts.recordCount("e/1", 7, fixture.now.get() - 20_000);
          fixture.runWith(OTHER, 10_000);
          assertFalse(fixture.runner.isOwner());
          assertFalse(fixture.queries.isEmpty());
        });
  }

  @Test
  public void engineIsTakenOverWithTheWordOfAllHosts() {
    run(
        fixture -> {
          fixture.runWith(OTHER, 3_000);
          fixture.consentToQueries();
          assertFalse(fixture.runner.isOwner());
          fixture.runWith(OTHER, 700);
          assertTrue(fixture.runner.isOwner());
        });
  }

  @Test
  public void engineOfOwnerWhoseClaimsDoNotArriveIsNotTakenOver() {
    run(
        fixture -> {
          OwnershipObjection owned = new OwnershipObjection(OwnershipObjection.OWNED, OTHER, 0);
          for (int round = 0; round < 20; round++) {
            fixture.runWith(OTHER, 500);
            fixture.answerQueries(Optional.of(owned), 1L << 50);
          }
          assertFalse(fixture.runner.isOwner());
        });
  }

  // An owner counted an order of another host as its own unanswered one and went on.
  @Test
  public void countRaisedAfterUnansweredOrderNeedsTheWordOfAllHosts() {
    run(
        fixture -> {
          fixture.waitAndTakeOver();
          fixture.orderResult = OrderResult.UNKNOWN;
          fixture.submit("x");
          assertEquals(fixture.orders.size(), 1);
          fixture.orderResult = OrderResult.ACCEPTED;
          fixture.orderCount = 8;
          fixture.runWith(OTHER, 1_000);
          fixture.submit("y");
          assertEquals(fixture.orders.size(), 1);
          assertTrue(fixture.runner.isOwner());
          fixture.consentToQueries();
          assertEquals(fixture.orders.size(), 2);
        });
  }

  @Test
  public void ownerWithoutTheWordOfAllHostsRelinquishesTheEngine() {
    run(
        fixture -> {
          fixture.waitAndTakeOver();
          fixture.orderResult = OrderResult.UNKNOWN;
          fixture.submit("x");
          fixture.orderCount = 8;
          fixture.runWith(OTHER, 4_000);
          assertFalse(fixture.runner.isOwner());
          assertEquals(fixture.orders.size(), 1);
        });
  }

  // A stale owner repeated a refused order each 150 ms.
  @Test
  public void refusedOrderIsNotRepeatedBeforeTheCountIsCompared() {
    run(
        fixture -> {
          fixture.waitAndTakeOver();
          fixture.orderResult = OrderResult.CONFLICT;
          fixture.submit("x");
          OwnedOrder refused = fixture.owned(fixture.orders.get(0));
          fixture.advance(150);
          fixture.runner.checkOrder(refused);
          assertEquals(fixture.orders.size(), 1);
          fixture.advance(300);
          assertEquals(fixture.orders.size(), 2);
        });
  }

  // Two owners that heard each other's claims both relinquished the engine.
  @Test
  public void higherTokenPrevails() {
    run(
        fixture -> {
          fixture.waitAndTakeOver();
          long token = fixture.runner.status().fencingToken();
          fixture.runner.recordOtherOwner(OTHER, token - 1);
          assertTrue(fixture.runner.isOwner());
          fixture.runner.recordOtherOwner(OTHER, token + 1);
          assertFalse(fixture.runner.isOwner());
        });
  }

  @Test
  public void ownerThatLearnsOfHigherTokenSendsNoOrder() {
    run(
        fixture -> {
          fixture.waitAndTakeOver();
          long token = fixture.runner.status().fencingToken();
          fixture.state.engineSelector().claims().recordToken("e/1", token + 1);
          fixture.submit("x");
          assertEquals(fixture.orders.size(), 0);
          assertFalse(fixture.runner.isOwner());
        });
  }

  @Test
  public void tokenOfTakeoverIsHigherThanAllTokensKnown() {
    run(
        fixture -> {
          long known = 1L << 60;
          fixture.state.engineSelector().claims().recordToken("e/1", known);
          fixture.waitAndTakeOver();
          assertTrue(fixture.runner.status().fencingToken() > known);
        });
  }

  // An owner stated that it owned nothing while its engine did not answer, and went on afterwards.
  @Test
  public void ownerOfUnreachableEngineClaimsItUntilItRelinquishesIt() {
    run(
        fixture -> {
          fixture.waitAndTakeOver();
          fixture.reporting = false;
          fixture.orderResult = OrderResult.UNKNOWN;
          fixture.submit("x");
          assertTrue(fixture.runner.status().owned());
          fixture.waitMillis(2_500);
          assertEquals(fixture.runner.status().owned(), fixture.runner.isOwner());
          fixture.waitMillis(1_000);
          assertFalse(fixture.runner.status().owned());
          assertFalse(fixture.runner.isOwner());
        });
  }

  @Test
  public void ownerObjectsToTakeoversUnlessItsTokenIsLower() {
    run(
        fixture -> {
          assertTrue(fixture.runner.objectTo(OTHER, 0).isEmpty());
          fixture.waitAndTakeOver();
          assertTrue(fixture.runner.objectTo(OTHER, 0).isPresent());
          assertTrue(fixture.runner.isOwner());
          long token = fixture.runner.status().fencingToken();
          assertTrue(fixture.runner.objectTo(OTHER, token + 1).isEmpty());
          assertFalse(fixture.runner.isOwner());
        });
  }

  // The next owner of an engine ordered it right after a host that was stopped.
  @Test
  public void formerOwnerObjectsUntilTheLeaseOfItsLastOrderEnds() {
    run(
        fixture -> {
          fixture.waitAndTakeOver();
          fixture.submit("x");
          fixture.advance(1_000);
          fixture.runner.relinquish("own-stop");
          Optional<OwnershipObjection> objection = fixture.runner.objectTo(OTHER, 0);
          assertEquals(objection.map(OwnershipObjection::waitMillis), Optional.of(2_000L));
          fixture.advance(2_000);
          assertTrue(fixture.runner.objectTo(OTHER, 0).isEmpty());
        });
  }

  // Beside a host of the former build, which answers no queries, no engine had an owner.
  @Test
  public void hostOfFormerBuildIsNotAskedButItsClaimDelaysTheTakeover() {
    run(
        fixture -> {
          fixture.protocols.put(OTHER, 0);
          EngineStatus claim = new EngineStatus("e/1", true, List.of(), 0, 6, 0);
          fixture.runWith(OTHER, 3_000);
          fixture.state.engineSelector().updateStatus(OTHER, claim, fixture.now.get());
          fixture.runner.recordOtherOwner(OTHER, 0);
          fixture.runWith(OTHER, 3_600);
          assertFalse(fixture.runner.isOwner());
          fixture.runWith(OTHER, 300);
          assertTrue(fixture.runner.isOwner());
          assertTrue(fixture.queries.isEmpty());
        });
  }

  // A count that the former owner expected, but the engine had not reached, blocked all takeovers.
  @Test
  public void countThatTheEngineNeverReachedDelaysTakeoverOnly() {
    run(
        fixture -> {
          fixture.waitAndTakeOver();
          fixture.submit("x");
          assertEquals(fixture.runner.orderCount().orElseThrow().acceptedOrders(), 8);
          fixture.runner.relinquish("own-stop");
          fixture.waitMillis(8_000);
          assertTrue(fixture.runner.isOwner());
        });
  }

  // An idle owner on a late host asked all hosts again and again, and never ordered.
  @Test
  public void idleOwnerOnLateHostOrdersOnceAllHostsConsent() {
    run(
        fixture -> {
          fixture.waitAndTakeOver();
          fixture.runWith(OTHER, 100);
          fixture.state.recordTickGap(500);
          fixture.submit("x");
          assertEquals(fixture.orders.size(), 0);
          fixture.runWith(OTHER, 50);
          assertEquals(fixture.queries.size(), 1);
          fixture.consentToQueries();
          fixture.runWith(OTHER, 50);
          assertEquals(fixture.orders.size(), 1);
        });
  }
}
