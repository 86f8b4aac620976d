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
 * Runs the desk of one life of an engine on this host: answers asks, and sends the desk's orders
 * one after the other while this host holds the engine.
 */
final class HeldEngine {

  /** The first wait before an engine is asked whether a load is done, in milliseconds. */
  private static final long FIRST_CHECK_MILLIS = 25;

  /** The wait between two such questions, in milliseconds. */
  private static final long CHECK_MILLIS = 40;

  /** The wait after an order that met another count than expected, in milliseconds. */
  private static final long CONFLICT_MILLIS = 150;

  /** The pace at which waiting requests are looked at, in milliseconds. */
  private static final long DECIDE_MILLIS = 15;

  /** The shortest time between two readings of an engine that may not answer, in milliseconds. */
  private static final long READ_PAUSE_MILLIS = 300;

  /** The first reading may miss orders of the last moments, which a second one shows. */
  private static final long CONFIRM_MILLIS = 400;

  /**
   * How long after its last counted order a host repeats orders, in milliseconds: a load from the
   * store takes 290, and the 400 that others add to the lease have to cover it.
   */
  private static final long REPEATED_MILLIS = 330;

  /** An order that is not done after this time has failed, in milliseconds. */
  private static final long ORDER_MILLIS = 10_000;

  /** Why the first report of an engine is read. */
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

  /** Whether the engine holds something else than its desk believes. */
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
      EngineDesk desk,
      OrderCounts counts) {
    this.counts = counts;
    this.context = context;
    this.control = control;
    this.peers = peers;
    this.state = state;
    this.engine = engine;
    this.desk = desk;
    this.hold =
        new EngineHold(
            context.settings().bounds().leaseMillis(), RendezvousHash.hash(context.host()));
    openedMillis = context.now();
    desk.awaitReport();
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

  void ask(String host, PermitAsk ask) {
    carryOut(desk.ask(host, ask, context.now()));
  }

  void ended(String host, PermitEnd end) {
    carryOut(desk.ended(host, end, context.now()));
  }

  void hostGone(String host) {
    carryOut(desk.hostGone(host, context.now()));
  }

  /** Notes that another host says that it holds the engine. */
  void heldElsewhere(String host) {
    if (hold.isHolding()) {
      context.log().line("hold-lost", "engine", engine.id(), "to", host);
    }
    hold.heldElsewhere(context.now());
    desk.ordering(false);
    orders.clear();
  }

  /**
   * Gives the engine up, after a pause of this process in which another host may have taken it, or
   * because this host stops: the wait of the next holder begins with the last order.
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

  /** Decides what time alone makes due, and takes the engine if it may be taken. */
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
    List<AdapterOrder> unchecked = List.copyOf(awaited);
    awaited.clear();
    unchecked.forEach(order -> later(order, READ_PAUSE_MILLIS));
    carryOut(desk.unreachable(context.now()));
  }

  private void reported(EngineReport report, String reason) {
    long now = context.now();
    boolean held = hold.isHolding();
    hold.observed(report.orders(), now);
    counts.seen(engine.life(), report.orders(), now);
    if (!state.board().isHeldElsewhere(engine.life(), context.host(), now)) {
      counts.since(engine.life(), report.orders()).ifPresent(hold::stillSince);
    }
    int rank = state.ranking(engine).indexOf(context.host());
    boolean taken = !held && rank >= 0 && hold.take(rank, state.freshRevision(), now);
    if (!held || stale) {
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
    if (taken || reason.equals(OPENED)) {
      peersHear();
    }
    carryOut(desk.decide(now));
    settleAwaited(report);
    sendNext();
  }

  /** Tells all hosts how many orders the engine has accepted, and since when no more. */
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
    EngineNotice notice = notice();
    state.hosts().alive().forEach(host -> peers.send(host, notice));
    state.board().noted(context.host(), notice, context.now());
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

  /** Looks again shortly while requests wait for prompts to be read. */
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
    // An engine answers a repeated load like the first, but counts it only once.
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
        // The engine's life is over, or its model is gone: asked again at the pace of readings.
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

  /** Compares the counts of orders as soon as the engine's report is newer than the last order. */
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
   * Asks whether an order is done: by the order again, which is cheap, or by a report. An order
   * that is repeated does not raise the engine's count; another host that sees the count stand
   * still has to be sure that this host has sent nothing for the lease.
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
    List<AdapterOrder> checked = List.copyOf(awaited);
    awaited.clear();
    for (AdapterOrder order : checked) {
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
            since -> log(done ? "order-done" : "order-failed", order, context.now() - since));
    carryOut(desk.ordered(order, done, context.now()));
  }

  /** Ends the desk; who waits is answered by the loss of this host or of the engine. */
  void close() {
    closed = true;
    orders.clear();
  }
}
