package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.limit.RequestRate;
import org.lentilhinge.overlay.HostHeartbeat;
import org.lentilhinge.overlay.HostOverlay;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.permit.AdapterOrder;
import org.lentilhinge.permit.EngineScheduler;
import org.lentilhinge.permit.OrderCounts;
import org.lentilhinge.permit.OwnershipAnswer;
import org.lentilhinge.permit.OwnershipObjection;
import org.lentilhinge.permit.OwnershipQuery;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.SchedulerSettings;
import org.lentilhinge.permit.StatusRelay;

/** An engine with its model and no adapter loaded, and the runner of that engine. */
final class OwnedEngineFixture implements EngineControl {

  static final FleetEndpoint ENGINE =
      new FleetEndpoint(
          "e",
          1,
          "s",
          "10.0.0.9:80",
          "a",
          EndpointState.READY,
          0,
          new StoreRevision(0, 1),
          List.of("m"),
          "v1",
          6);

  final AtomicLong now = new AtomicLong(1_000);
  final List<AdapterOrder> orders = new ArrayList<>();
  final List<PermitAnswer> answers = new ArrayList<>();
  final List<OwnershipQuery> queries = new ArrayList<>();
  final OrderCounts counts = new OrderCounts();
  final OwnedEngineRunner runner;
  OrderResult orderResult = OrderResult.ACCEPTED;
  boolean reporting = true;
  OptionalLong startedAtMillis = OptionalLong.empty();
  Optional<Promise<OrderResult>> heldOrder = Optional.empty();
  BooleanSupplier latestMayBeSent = () -> true;
  long lastPermitId;
  long orderCount = 7;
  long remainingMillis = 5_000;
  final Map<String, Long> adapters = new HashMap<>();
  final Map<String, Long> loading = new HashMap<>();
  final Map<String, Integer> protocols = new HashMap<>();

  final HostContext context;
  final HostOverlay overlay = ForwardFixture.overlay(ForwardFixture.settings());
  final HostState state;

  OwnedEngineFixture(Vertx vertx) {
    context =
        new HostContext(
            vertx,
            ForwardFixture.settings(),
            now::get,
            new EventLog(new PrintStream(PrintStream.nullOutputStream()), () -> 0),
            new MetricRegistry());
    state = new HostState(context, overlay);
    state.recordRevision(new StoreRevision(0, 5), now.get());
    PeerSender peers =
        (host, message) -> {
          if (message instanceof PermitAnswer answer) {
            answers.add(answer);
          } else if (message instanceof OwnershipQuery query) {
            queries.add(query);
          }
        };
    EngineScheduler scheduler =
        new EngineScheduler(
            new SchedulerSettings(64, 100_000, 6, 4, 120), "m", true, 22, new RequestRate());
    HostRecord self = new HostRecord("10.0.0.1", "a", "north", 1, 1, false);
    StatusExchange statuses = new StatusExchange(context, state, new StatusRelay(self), peers);
    runner =
        new OwnedEngineRunner(context, this, peers, statuses, state, ENGINE, scheduler, counts);
  }

  /** Advances the clock by twice the lease with an unchanged order count. */
  void waitAndTakeOver() {
    advance(ForwardFixture.settings().bounds().leaseMillis() * 2);
    assertTrue(runner.isOwner());
  }

  void waitMillis(long millis) {
    for (long waited = 0; waited < millis; waited += 500) {
      advance(500);
    }
  }

  /** Has other hosts join that then fall silent, so that this host is in the minority. */
  void loseOtherHosts() {
    hearOtherHosts(List.of());
    assertTrue(overlay.majority().millisWithout(now.get()) > 0);
  }

  /** Has two other hosts join of which one then falls silent; this host stays in the majority. */
  void loseOneHost() {
    hearOtherHosts(List.of("10.0.0.2"));
    assertEquals(overlay.majority().millisWithout(now.get()), 0);
    assertFalse(overlay.majority().isWhole());
  }

  /** Has two other hosts join and then hears only some of them for three seconds. */
  private void hearOtherHosts(List<String> heard) {
    overlay.onTick(now.get());
    List.of("10.0.0.2", "10.0.0.3").forEach(this::receiveHeartbeat);
    overlay.onTick(now.get());
    assertTrue(overlay.majority().isWhole());
    for (int step = 0; step < 60; step++) {
      advance(50);
      heard.forEach(this::receiveHeartbeat);
      overlay.onTick(now.get());
    }
  }

  /** Answers all queries for which no answer was given yet. */
  void answerQueries(Optional<OwnershipObjection> objection, long highestToken) {
    List<OwnershipQuery> open = List.copyOf(queries);
    queries.clear();
    for (OwnershipQuery query : open) {
      runner.receive(
          new OwnershipAnswer(
              query.asker(),
              query.target(),
              query.incarnation(),
              query.round(),
              objection,
              highestToken,
              List.of()));
    }
  }

  void consentToQueries() {
    answerQueries(Optional.empty(), 0);
  }

  /** Has another host join, and tick by tick the membership and the runner run on. */
  void runWith(String host, long millis) {
    for (long waited = 0; waited < millis; waited += 50) {
      receiveHeartbeat(host);
      overlay.onTick(now.get());
      advance(50);
    }
  }

  private void receiveHeartbeat(String host) {
    HostRecord other =
        new HostRecord(host, "a", "north", 1, 1, false, protocols.getOrDefault(host, 1));
    overlay.onMessage(host, new HostHeartbeat(other, 0, true), now.get());
  }

  void advance(long millis) {
    now.addAndGet(millis);
    state.recordRevision(new StoreRevision(0, 5), now.get());
    runner.tick();
  }

  @Override
  public Future<OrderResult> order(
      FleetEndpoint engine,
      AdapterOrder order,
      long expectedOrderCount,
      String owner,
      long fencingToken,
      BooleanSupplier mayBeSent) {
    orders.add(order);
    latestMayBeSent = mayBeSent;
    return heldOrder.map(Promise::future).orElseGet(() -> Future.succeededFuture(orderResult));
  }

  /** Returns an order as of the current ownership of the runner. */
  OwnedOrder owned(AdapterOrder order) {
    return new OwnedOrder(order, runner.ownershipNumber().orElse(0));
  }

  @Override
  public Future<EngineReport> report(FleetEndpoint engine) {
    return reporting
        ? Future.succeededFuture(
            new EngineReport(startedAtMillis, orderCount, List.of("m"), adapters, loading))
        : Future.failedFuture("no report");
  }

  void submit(String adapter) {
    submit(adapter, 0);
  }

  void submit(String adapter, long version) {
    lastPermitId++;
    runner.submit(
        "h",
        new PermitRequest(
            lastPermitId,
            "r",
            "e/1",
            "m",
            adapter,
            version,
            500,
            50,
            1,
            1_000,
            remainingMillis,
            Optional.empty(),
            Optional.empty()));
  }
}
