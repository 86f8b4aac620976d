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

  /** Runs a test on the event loop, as all parts of a host do. */
  private void onLoop(Runnable test) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(
        nothing -> {
          try {
            test.run();
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
        FleetEndpoint engine, AdapterOrder order, long expected, String holder, long fence) {
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
          World world = new World();
          world.waitAndTake();
          world.reply = OrderReply.MISDIRECTED;
          world.ask("x");
          world.ask("y");
          assertEquals(world.orders.size(), 1);
          assertEquals(world.answers.size(), 2);
          assertEquals(world.answers.get(1).reason(), "engine-unreachable");
        });
  }

  @Test
  public void stoppingHostOrdersNothingMoreAndRefusesWhatNeedsAnOrder() {
    onLoop(
        () -> {
          World world = new World();
          world.waitAndTake();
          world.ask("x");
          assertEquals(world.orders.size(), 1);
          world.held.giveUp("own-stop");
          assertEquals(world.answers.get(0).reason(), "no-holder");
          world.ask("y");
          assertEquals(world.answers.get(1).reason(), "no-holder");
          assertEquals(world.orders.size(), 1);
        });
  }

  @Test
  public void countThatAnotherHostSawShortensTheWaitAfterItsEnd() {
    onLoop(
        () -> {
          World world = new World();
          // The first report does not yet include the last orders of the previous owner.
          world.orderCount = 9;
          world.counts.seen("e/1", 9, world.now.get() - 2_000);
          world.pass(1_000);
          assertFalse(world.held.isHolding());
          world.pass(600);
          assertTrue(world.held.isHolding());
        });
  }

  @Test
  public void engineThatAnotherHostHoldsIsNotTakenForStandingStill() {
    onLoop(
        () -> {
          World world = new World();
          world.counts.seen("e/1", 7, world.now.get() - 20_000);
          EngineNotice status = new EngineNotice("e/1", true, List.of(), 0, 6, 0);
          world.state.board().noted("other", status, world.now.get());
          world.held.heldElsewhere("other");
          world.pass(500);
          assertFalse(world.held.isHolding());
        });
  }

  @Test
  public void loadThatTakesLongIsWatchedByReportsAndNotByRepeatedOrders() {
    onLoop(
        () -> {
          World world = new World();
          world.waitAndTake();
          world.ask("x");
          AdapterOrder load = world.orders.get(0);
          world.now.addAndGet(100);
          world.held.check(load);
          assertEquals(world.orders.size(), 2);
          world.now.addAndGet(300);
          world.held.check(load);
          assertEquals(world.orders.size(), 2);
          world.adapters.put("x", 0L);
          world.held.check(load);
          assertEquals(world.orders.size(), 2);
          assertTrue(world.answers.get(0).granted());
        });
  }

  @Test
  public void hostThatTheStoreRefusesTakesNothingWithItsOldRevision() {
    onLoop(
        () -> {
          World world = new World();
          long wait = ForwardFixture.settings().bounds().leaseMillis() * 2;
          world.now.addAndGet(wait);
          world.held.tick();
          assertFalse(world.held.isHolding());
          world.pass(wait);
          assertTrue(world.held.isHolding());
        });
  }
}
