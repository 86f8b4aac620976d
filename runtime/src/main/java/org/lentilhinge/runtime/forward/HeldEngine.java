package org.lentilhinge.runtime.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.permit.AdapterOrder;
import org.lentilhinge.permit.DeskCommand;
import org.lentilhinge.permit.EngineDesk;
import org.lentilhinge.permit.EngineHold;
import org.lentilhinge.permit.EngineNotice;
import org.lentilhinge.permit.OrderCounts;
import org.lentilhinge.permit.PermitAsk;
import org.lentilhinge.permit.PermitEnd;

/**
 * Runs the scheduler of one incarnation of an engine: answers permit requests, and sends the
 * scheduler's orders to the engine one at a time while this host owns the engine.
 */
final class HeldEngine {

  private static final long FIRST_CHECK_MILLIS = 25;
  private static final long CHECK_MILLIS = 40;
  private static final long CONFLICT_MILLIS = 150;
  private static final long DECIDE_MILLIS = 15; // while requests wait for prefill

  /** The minimum interval between report reads of an engine that may be down, in milliseconds. */
  private static final long READ_PAUSE_MILLIS = 300;

  /** The delay of a second report read, in milliseconds; the first may miss the latest orders. */
  private static final long CONFIRM_MILLIS = 400;

  /**
   * How long after the last counted order unfinished orders are repeated, in milliseconds: covers a
   * load from the store (290 ms), and is covered by the 400 ms that other hosts add to the lease.
   */
  private static final long REPEATED_MILLIS = 330;

  private static final long ORDER_MILLIS = 10_000;
  private static final String OPENED = "opened";

  private final HostContext context;
  private final EngineControl control;
  private final PeerSender peers;
  private final HostState state;
  private final FleetEndpoint engine;
  private final EngineDesk desk;
  private final EngineHold hold;
  private final OrderCounts counts;
  private final Deque<AdapterOrder> orders = new ArrayDeque<>();
  private final Map<AdapterOrder, Long> begun = new HashMap<>();
  private final Set<AdapterOrder> counted = new HashSet<>();
  private final Set<AdapterOrder> awaited = new LinkedHashSet<>();
  private boolean sending;
  private boolean reading;
  private boolean stale;
  private boolean deciding;
  private long readMillis;
  private final long openedMillis;
  private boolean confirmed;
  private boolean closed;

  HeldEngine(
      HostContext context,
      EngineControl control,
      PeerSender peers,
      HostState state,
      FleetEndpoint engine,
      EngineDesk scheduler,
      OrderCounts counts) {
    this.counts = counts;
    this.context = context;
    this.control = control;
    this.peers = peers;
    this.state = state;
    this.engine = engine;
    this.desk = scheduler;
    this.hold =
        new EngineHold(
            context.settings().bounds().leaseMillis(), RendezvousHash.hash(context.host()));
    openedMillis = context.now();
    scheduler.awaitReport();
    read(OPENED);
  }

  FleetEndpoint engine() {
    return engine;
  }

  boolean isHolding() {
    return hold.isHolding();
  }

  boolean isBusy() {
    return desk.isBusy();
  }

  EngineNotice notice() {
    return desk.notice(engine.life(), hold.isHolding(), context.now());
  }

  void ask(String host, PermitAsk request) {
    carryOut(desk.ask(host, request, context.now()));
  }

  void ended(String host, PermitEnd release) {
    carryOut(desk.ended(host, release, context.now()));
  }

  void hostGone(String host) {
    carryOut(desk.hostGone(host, context.now()));
  }

  /** Records that another host announced its ownership of the engine; drops the queued orders. */
  void heldElsewhere(String host) {
    if (hold.isHolding()) {
      context.log().line("hold-lost", "engine", engine.id(), "to", host);
    }
    hold.heldElsewhere(context.now());
    desk.ordering(false);
    orders.clear();
  }

  /**
   * Relinquishes the engine after a pause of this process, in which another host may have taken
   * over, or because this host stops. The wait of the next owner starts at the last order.
   */
  void giveUp(String reason) {
    if (hold.isHolding()) {
      context.log().line("hold-lost", "engine", engine.id(), "to", reason);
      counts.seen(engine.life(), hold.expectedOrders().orElse(0), hold.stillSinceMillis());
    }
    hold.stepBack(context.now());
    desk.ordering(false);
    orders.clear();
    carryOut(desk.decide(context.now()));
  }

  /** Makes the decisions that depend on time only, and takes the engine over once that is due. */
  void tick() {
    carryOut(desk.decide(context.now()));
    if (desk.isUnreachable(context.now()) && context.now() - readMillis >= READ_PAUSE_MILLIS) {
      read("unreachable");
    }
    if (!hold.isHolding() && !confirmed && context.now() - openedMillis >= CONFIRM_MILLIS) {
      confirmed = true;
      read("confirm");
    }
    int rank = state.ranking(engine).indexOf(context.host());
    if (!hold.isHolding() && rank >= 0) {
      desk.orderingIn(hold.dueInMillis(rank, context.now()));
      if (hold.isDue(rank, context.now()) && context.now() - readMillis >= READ_PAUSE_MILLIS) {
        read("take");
      }
    }
  }

  private void read(String reason) {
    if (reading || closed) {
      return;
    }
    reading = true;
    readMillis = context.now();
    control
        .report(engine)
        .onComplete(
            result -> {
              reading = false;
              if (result.succeeded()) {
                desk.reachable();
                reported(result.result(), reason);
              } else {
                unreachable("report-failed");
              }
            });
  }

  private void unreachable(String reason) {
    context.log().line("engine-unreachable", "engine", engine.id(), "why", reason);
    List<AdapterOrder> pending = List.copyOf(awaited);
    awaited.clear();
    pending.forEach(order -> later(order, READ_PAUSE_MILLIS));
    carryOut(desk.unreachable(context.now()));
  }

  private void reported(EngineReport report, String reason) {
    long now = context.now();
    boolean wasOwner = hold.isHolding();
    hold.observed(report.orders(), now);
    counts.seen(engine.life(), report.orders(), now);
    if (!state.board().isHeldElsewhere(engine.life(), context.host(), now)) {
      counts.since(engine.life(), report.orders()).ifPresent(hold::stillSince);
    }
    int rank = state.ranking(engine).indexOf(context.host());
    boolean acquired = !wasOwner && rank >= 0 && hold.take(rank, state.freshRevision(), now);
    if (!wasOwner || stale) {
      stale = false;
      desk.reported(!report.models().isEmpty(), report.adapters(), report.coming(), now);
    }
    context
        .log()
        .line(
            "engine-report",
            "engine",
            engine.id(),
            "why",
            reason,
            "orders",
            report.orders(),
            "adapters",
            report.adapters().size(),
            "coming",
            report.coming().size(),
            "holding",
            hold.isHolding(),
            "readsPerMs",
            Math.round(desk.promptTokensPerMilli()),
            "fence",
            hold.fence().orElse(0));
    desk.ordering(hold.isHolding());
    if (rank >= 0) {
      desk.orderingIn(hold.dueInMillis(rank, now));
    }
    if (acquired || reason.equals(OPENED)) {
      peersHear();
    }
    carryOut(desk.decide(now));
    settleAwaited(report);
    sendNext();
  }

  /** Sends the engine's count of accepted orders and the age of that count to all hosts. */
  void announceCount() {
    long now = context.now();
    if (hold.isHolding()) {
      counts.seen(engine.life(), hold.expectedOrders().orElse(0), hold.stillSinceMillis());
    }
    counts
        .newest(engine.life(), now)
        .ifPresent(count -> state.hosts().alive().forEach(host -> peers.send(host, count)));
  }

  private void peersHear() {
    EngineNotice status = notice();
    state.hosts().alive().forEach(host -> peers.send(host, status));
    state.board().noted(context.host(), status, context.now());
  }

  private void carryOut(List<DeskCommand> commands) {
    for (DeskCommand command : commands) {
      if (command instanceof DeskCommand.Answer answer) {
        context
            .log()
            .line(
                answer.answer().granted() ? "permit" : "permit-refused",
                "engine",
                engine.id(),
                "host",
                answer.host(),
                "ask",
                answer.answer().ask(),
                "why",
                answer.answer().reason(),
                "waitedMs",
                answer.waitedMillis(),
                "retryMs",
                answer.answer().retryMillis());
        peers.send(answer.host(), answer.answer());
      } else if (command instanceof DeskCommand.Order order) {
        orders.add(order.order());
        log("order-decided", order.order(), order.reason());
      }
    }
    sendNext();
    decideSoon();
  }

  private void decideSoon() {
    if (!deciding && !closed && desk.hasWaiting()) {
      deciding = true;
      context
          .vertx()
          .setTimer(
              DECIDE_MILLIS,
              id -> {
                deciding = false;
                carryOut(desk.decide(context.now()));
              });
    }
  }

  private void log(String event, AdapterOrder order, Object outcome) {
    context
        .log()
        .line(
            event,
            "engine",
            engine.id(),
            "op",
            order.load() ? "load" : "unload",
            "adapter",
            order.model() + '/' + order.adapter(),
            "version",
            order.version(),
            "outcome",
            outcome,
            "expected",
            hold.expectedOrders().orElse(-1),
            "fence",
            hold.fence().orElse(0));
  }

  private void sendNext() {
    OptionalLong fence = hold.fence();
    if (sending || closed || orders.isEmpty() || fence.isEmpty()) {
      return;
    }
    sending = true;
    AdapterOrder order = orders.remove();
    begun.putIfAbsent(order, context.now());
    long expected = hold.expectedOrders().orElse(0);
    control
        .order(engine, order, expected, context.host(), fence.getAsLong())
        .onSuccess(reply -> replied(order, reply));
  }

  private void replied(AdapterOrder order, OrderReply reply) {
    sending = false;
    if (closed) {
      return;
    }
    long now = context.now();
    // The engine answers a repeated load in the same way as the first one but counts it only once.
    boolean first = counted.add(order);
    if (first || reply != OrderReply.ACCEPTED) {
      log("order", order, reply);
    }
    switch (reply) {
      case ACCEPTED -> {
        if (first) {
          hold.accepted(now);
        }
        later(order, first ? FIRST_CHECK_MILLIS : CHECK_MILLIS);
      }
      case HOLDS -> {
        if (first && !order.load()) {
          hold.accepted(now);
        }
        settle(order, true);
      }
      case CONFLICT -> {
        counted.remove(order);
        conflict(order);
      }
      case MISDIRECTED -> {
        // The incarnation ended or the model is gone: next contact after the report read interval.
        stale = true;
        unreachable("order-misdirected");
        settle(order, false);
      }
      case UNKNOWN -> {
        counted.remove(order);
        hold.unanswered();
        unreachable("order-unanswered");
        conflict(order);
      }
      default -> settle(order, false);
    }
    sendNext();
  }

  /** Compares the order counts if the engine's report would be newer than the last order. */
  private void conflict(AdapterOrder order) {
    if (hold.isSettled(context.now())) {
      read("conflict");
    }
    later(order, CONFLICT_MILLIS);
  }

  private void later(AdapterOrder order, long millis) {
    long age = context.now() - begun.getOrDefault(order, context.now());
    if (age > ORDER_MILLIS) {
      settle(order, false);
      return;
    }
    context.vertx().setTimer(millis, id -> check(order));
  }

  /**
   * Checks an order by repeating it, which is cheap, or by a report. A repeat does not raise the
   * count, yet a host that sees an unchanged count relies on no order being sent for the lease.
   */
  void check(AdapterOrder order) {
    boolean repeatable =
        !counted.contains(order) || context.now() - hold.stillSinceMillis() <= REPEATED_MILLIS;
    if (repeatable) {
      orders.add(order);
      sendNext();
    } else if (hold.isHolding()) {
      awaited.add(order);
      read("order-check");
    }
  }

  private void settleAwaited(EngineReport report) {
    List<AdapterOrder> pending = List.copyOf(awaited);
    awaited.clear();
    for (AdapterOrder order : pending) {
      if (report.shows(order)) {
        settle(order, true);
      } else {
        later(order, READ_PAUSE_MILLIS);
      }
    }
  }

  private void settle(AdapterOrder order, boolean done) {
    counted.remove(order);
    Optional.ofNullable(begun.remove(order))
        .ifPresent(
            start -> log(done ? "order-done" : "order-failed", order, context.now() - start));
    carryOut(desk.ordered(order, done, context.now()));
  }

  /** Stops; waiting requests end when their hosts detect the loss of this host or the engine. */
  void close() {
    closed = true;
    orders.clear();
  }
}
