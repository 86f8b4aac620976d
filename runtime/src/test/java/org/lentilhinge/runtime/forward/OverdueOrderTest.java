package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lentilhinge.permit.AdapterOrder;
import org.lentilhinge.permit.PermitReturn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Tests that an order that takes long ends by the engine's reports and not by the time. */
public class OverdueOrderTest {

  private static final long OVERDUE_MILLIS = 10_500;

  private final Vertx vertx = Vertx.vertx();
  private final Context loop = vertx.getOrCreateContext();

  /** Closes the event loops. */
  @AfterClass
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Runs a test body on the event loop, with an engine that holds six adapters in version 1. */
  private void onLoop(Consumer<OwnedEngineFixture> body) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(
        unused -> {
          try {
            OwnedEngineFixture fixture = new OwnedEngineFixture(vertx);
            for (int index = 1; index <= 6; index++) {
              fixture.adapters.put("a" + index, 1L);
            }
            fixture.waitAndTakeOver();
            body.accept(fixture);
            done.complete(null);
          } catch (AssertionError | RuntimeException | StackOverflowError failure) {
            done.completeExceptionally(failure);
          }
        });
    done.join();
  }

  /** Checks an order until it is overdue, at an engine that reports what the fixture states. */
  private static void checkFor(OwnedEngineFixture fixture, AdapterOrder order, long millis) {
    for (long waited = 0; waited < millis; waited += 500) {
      fixture.advance(500);
      fixture.runner.checkOrder(fixture.owned(order));
    }
  }

  private static AdapterOrder submitNewVersion(OwnedEngineFixture fixture) {
    fixture.remainingMillis = 15_000;
    fixture.submit("a1", 1);
    assertTrue(fixture.answers.get(0).granted());
    fixture.submit("a1", 2);
    AdapterOrder replacement = new AdapterOrder(true, "m", "a1", 2);
    assertEquals(fixture.orders, List.of(replacement));
    fixture.orderCount++;
    return replacement;
  }

  private static AdapterOrder lastOrder(OwnedEngineFixture fixture) {
    return fixture.orders.get(fixture.orders.size() - 1);
  }

  /** Guards against a seventh adapter beside a replacement that waits for a run (review/6). */
  @Test
  public void replacementThatWaitsForRunKeepsItsSlot() {
    onLoop(
        fixture -> {
          AdapterOrder replacement = submitNewVersion(fixture);
          checkFor(fixture, replacement, OVERDUE_MILLIS);
          fixture.orderResult = OrderResult.CONFLICT;
          fixture.submit("a7", 1);
          assertEquals(lastOrder(fixture).load(), false, "no slot is free for a7");
        });
  }

  @Test
  public void replacementEndsOnceTheReportShowsIt() {
    onLoop(
        fixture -> {
          AdapterOrder replacement = submitNewVersion(fixture);
          checkFor(fixture, replacement, OVERDUE_MILLIS);
          fixture.adapters.put("a1", 2L);
          checkFor(fixture, replacement, 500);
          fixture.submit("a1", 2);
          assertEquals(fixture.answers.get(fixture.answers.size() - 1).reason(), "resident");
        });
  }

  /** Guards against a replacement that is waited for although the engine no longer has it. */
  @Test
  public void replacementWithoutRunsIsOrderedAgain() {
    onLoop(
        fixture -> {
          AdapterOrder replacement = submitNewVersion(fixture);
          fixture.runner.release(
              "h", new PermitReturn(fixture.answers.get(0).permitId(), doneOutcome(), 0));
          checkFor(fixture, replacement, OVERDUE_MILLIS);
          int sent = fixture.orders.size();
          fixture.submit("a1", 2);
          assertEquals(fixture.orders.size(), sent + 1);
          assertEquals(lastOrder(fixture), replacement);
        });
  }

  private static PermitReturn.Outcome doneOutcome() {
    return PermitReturn.Outcome.DONE;
  }

  /** Guards against a seventh adapter beside a load that a slow store delays. */
  @Test
  public void loadFromSlowStoreKeepsItsSlotUntilItIsGone() {
    onLoop(
        fixture -> {
          fixture.runner.relinquish("test");
          fixture.adapters.remove("a6");
          fixture.waitAndTakeOver();
          fixture.submit("a7", 1);
          AdapterOrder load = lastOrder(fixture);
          assertTrue(load.load());
          fixture.orderCount++;
          fixture.loading.put(load.adapter(), 1L);
          checkFor(fixture, load, OVERDUE_MILLIS);
          int sent = fixture.orders.size();
          fixture.submit("a9", 1);
          assertFalse(
              fixture.orders.subList(sent, fixture.orders.size()).stream()
                  .anyMatch(AdapterOrder::load),
              "no slot is free");
          fixture.loading.clear();
          checkFor(fixture, load, 1_000);
          fixture.submit("a9", 1);
          assertTrue(lastOrder(fixture).load());
        });
  }

  /** Guards against permits for an adapter whose unload waits for runs of which no host knows. */
  @Test
  public void unloadThatWaitsForRunsIsNotTakenBack() {
    onLoop(
        fixture -> {
          fixture.submit("a7", 1);
          AdapterOrder unload = fixture.orders.get(0);
          assertFalse(unload.load());
          fixture.orderCount++;
          checkFor(fixture, unload, OVERDUE_MILLIS);
          int answered = fixture.answers.size();
          fixture.submit(unload.adapter(), 1);
          assertTrue(
              fixture.answers.subList(answered, fixture.answers.size()).stream()
                  .noneMatch(answer -> answer.granted()));
        });
  }

  /** Guards against a slot that stays loading after the owner that ordered the load was lost. */
  @Test
  public void loadOfFormerOwnerIsFollowedByReports() {
    onLoop(
        fixture -> {
          fixture.runner.relinquish("test");
          fixture.adapters.remove("a6");
          fixture.loading.put("a6", 1L);
          fixture.orderCount++;
          fixture.advance(500);
          fixture.waitAndTakeOver();
          fixture.loading.clear();
          fixture.adapters.put("a6", 1L);
          fixture.advance(500);
          fixture.submit("a6", 1);
          assertTrue(fixture.answers.get(fixture.answers.size() - 1).granted());
        });
  }
}
