package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.permit.AdapterOrder;
import org.lentilhinge.permit.DeskSettings;
import org.lentilhinge.permit.EngineDesk;
import org.lentilhinge.permit.EngineNotice;
import org.lentilhinge.permit.OrderCounts;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitAsk;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Tests how a host takes over an engine, sends orders and relinquishes it, on a manual clock. */
public class HeldEngineTest {

  private static final FleetEndpoint ENGINE =
      new FleetEndpoint("e", 1, "s", "10.0.0.9:80", "a", EndpointState.READY, 0, 1, List.of("m"));

  private final Vertx vertx = Vertx.vertx();
  private final Context loop = vertx.getOrCreateContext();

  /** Closes the event loops. */
  @AfterClass
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Runs a test body on the event loop, which runs all parts of a host. */
  private void onLoop(Runnable body) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(
        nothing -> {
          try {
            body.run();
            done.complete(null);
          } catch (AssertionError | RuntimeException | StackOverflowError failure) {
            done.completeExceptionally(failure);
          }
        });
    done.join();
  }

  /** An engine with its model and no adapter loaded, and the runner of that engine. */
  private final class World implements EngineControl {

    private final AtomicLong now = new AtomicLong(1_000);
    private final List<AdapterOrder> orders = new ArrayList<>();
    private final List<PermitAnswer> answers = new ArrayList<>();
    private final OrderCounts counts = new OrderCounts();
    private final HeldEngine held;
    private OrderReply reply = OrderReply.ACCEPTED;
    private long number;
    private long orderCount = 7;
    private final Map<String, Long> adapters = new HashMap<>();

    private final HostContext context =
        new HostContext(
            vertx,
            ForwardFixture.settings(),
            now::get,
            new EventLog(new PrintStream(PrintStream.nullOutputStream()), () -> 0),
            new MetricRegistry());
    private final HostState state = new HostState(context);

    World() {
      state.revision(5);
      PeerSender peers =
          (host, message) -> {
            if (message instanceof PermitAnswer answer) {
              answers.add(answer);
            }
          };
      EngineDesk desk = new EngineDesk(new DeskSettings(64, 100_000, 6, 4, 120), "m", true, 22);
      held = new HeldEngine(context, this, peers, state, ENGINE, desk, counts);
    }

    /** Advances the clock by twice the lease with an unchanged order count. */
    private void waitAndTake() {
      pass(ForwardFixture.settings().bounds().leaseMillis() * 2);
      assertTrue(held.isHolding());
    }

    private void pass(long millis) {
      now.addAndGet(millis);
      state.revision(5);
      held.tick();
    }

    @Override
    public Future<OrderReply> order(
        FleetEndpoint engine, AdapterOrder order, long expected, String owner, long fencingToken) {
      orders.add(order);
      return Future.succeededFuture(reply);
    }

    @Override
    public Future<EngineReport> report(FleetEndpoint engine) {
      return Future.succeededFuture(new EngineReport(orderCount, List.of("m"), adapters, Map.of()));
    }

    private void ask(String adapter) {
      number++;
      held.ask("h", new PermitAsk(number, "r", "e/1", "m", adapter, 0, 500, 50, 1, 1_000, 5_000));
    }
  }

  @Test
  public void orderToLifeThatIsOverIsNotRepeatedAtOnce() {
    onLoop(
        () -> {
          World fixture = new World();
          fixture.waitAndTake();
          fixture.reply = OrderReply.MISDIRECTED;
          fixture.ask("x");
          fixture.ask("y");
          assertEquals(fixture.orders.size(), 1);
          assertEquals(fixture.answers.size(), 2);
          assertEquals(fixture.answers.get(1).reason(), "engine-unreachable");
        });
  }

  @Test
  public void stoppingHostOrdersNothingMoreAndRefusesWhatNeedsAnOrder() {
    onLoop(
        () -> {
          World fixture = new World();
          fixture.waitAndTake();
          fixture.ask("x");
          assertEquals(fixture.orders.size(), 1);
          fixture.held.giveUp("own-stop");
          assertEquals(fixture.answers.get(0).reason(), "no-holder");
          fixture.ask("y");
          assertEquals(fixture.answers.get(1).reason(), "no-holder");
          assertEquals(fixture.orders.size(), 1);
        });
  }

  @Test
  public void countThatAnotherHostSawShortensTheWaitAfterItsEnd() {
    onLoop(
        () -> {
          World fixture = new World();
          // The first report does not yet include the last orders of the previous owner.
          fixture.orderCount = 9;
          fixture.counts.seen("e/1", 9, fixture.now.get() - 2_000);
          fixture.pass(1_000);
          assertFalse(fixture.held.isHolding());
          fixture.pass(600);
          assertTrue(fixture.held.isHolding());
        });
  }

  @Test
  public void engineThatAnotherHostHoldsIsNotTakenForStandingStill() {
    onLoop(
        () -> {
          World fixture = new World();
          fixture.counts.seen("e/1", 7, fixture.now.get() - 20_000);
          EngineNotice status = new EngineNotice("e/1", true, List.of(), 0, 6, 0);
          fixture.state.board().noted("other", status, fixture.now.get());
          fixture.held.heldElsewhere("other");
          fixture.pass(500);
          assertFalse(fixture.held.isHolding());
        });
  }

  @Test
  public void loadThatTakesLongIsWatchedByReportsAndNotByRepeatedOrders() {
    onLoop(
        () -> {
          World fixture = new World();
          fixture.waitAndTake();
          fixture.ask("x");
          AdapterOrder load = fixture.orders.get(0);
          fixture.now.addAndGet(100);
          fixture.held.check(load);
          assertEquals(fixture.orders.size(), 2);
          fixture.now.addAndGet(300);
          fixture.held.check(load);
          assertEquals(fixture.orders.size(), 2);
          fixture.adapters.put("x", 0L);
          fixture.held.check(load);
          assertEquals(fixture.orders.size(), 2);
          assertTrue(fixture.answers.get(0).granted());
        });
  }

  @Test
  public void hostThatTheStoreRefusesTakesNothingWithItsOldRevision() {
    onLoop(
        () -> {
          World fixture = new World();
          long wait = ForwardFixture.settings().bounds().leaseMillis() * 2;
          fixture.now.addAndGet(wait);
          fixture.held.tick();
          assertFalse(fixture.held.isHolding());
          fixture.pass(wait);
          assertTrue(fixture.held.isHolding());
        });
  }
}
