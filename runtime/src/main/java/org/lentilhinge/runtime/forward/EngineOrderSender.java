package org.lentilhinge.runtime.forward;

import java.util.OptionalLong;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.permit.AdapterOrder;
import org.lentilhinge.permit.EngineOwnership;

/**
 * Sends the orders of this host to one engine, one at a time, and follows each until it is complete
 * or has failed.
 */
final class EngineOrderSender {

  /** The delay of the first check whether an accepted order is complete, in milliseconds. */
  private static final long FIRST_CHECK_DELAY_MILLIS = 25;

  /** The interval between further checks of an accepted order, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 40;

  /** The delay before an order is sent again after a conflict or no response, in milliseconds. */
  private static final long CONFLICT_DELAY_MILLIS = 150;

  /**
   * The time after the last counted order during which unfinished orders are repeated, in
   * milliseconds. It covers a load from the store, which takes 290 ms, and must be covered by the
   * 400 ms that {@link EngineOwnership} of other hosts adds to the lease.
   */
  private static final long REPEAT_WINDOW_MILLIS = 330;

  /**
   * The time after which an order that is not complete is no longer sent, in milliseconds. From
   * then on only reports decide about it: a load takes long while the store is slow, and the
   * replacement of an adapter waits for its runs.
   */
  private static final long ORDER_TIMEOUT_MILLIS = 10_000;

  /** The interval between two reports about an order that takes long, in milliseconds. */
  private static final long OVERDUE_CHECK_INTERVAL_MILLIS = 1_000;

  private final HostContext context;
  private final EngineControl control;
  private final FleetEndpoint engine;
  private final EngineOwnership ownership;
  private final OwnershipRules rules;
  private final EngineReportReader reports;
  private final OwnedEngineLog log;
  private final Listener listener;
  private final OwnedOrders orders = new OwnedOrders();

  /** The time since which the next order of an idle owner waits, in milliseconds. */
  private OptionalLong heldSinceMillis = OptionalLong.empty();

  /** The time until which loads are held back after a contestable first order, in milliseconds. */
  private long loadsHeldUntilMillis = Long.MIN_VALUE;

  private boolean inFlight;
  private boolean closed;

  /** Decides when orders are sent, and receives their results. */
  interface Listener {

    /** Indicates whether this host may send orders, right before each is sent. */
    boolean mayOrder();

    /** Indicates whether the engine is in the backoff after it did not respond. */
    boolean isUnreachable();

    /** Handles an order that was carried out or that the engine refused. */
    void onOrderEnd(AdapterOrder order, boolean done);

    /**
     * Handles an order that was not carried out, as a report shows.
     *
     * @param order the order
     * @param residentVersion the version of the adapter that the engine holds; empty if none
     */
    void onOrderAbandoned(AdapterOrder order, OptionalLong residentVersion);

    /** Indicates whether no request of which this host knows runs on an adapter. */
    boolean isIdle(String adapter);

    /** Handles an order that the engine did not answer. */
    void onOrderUnanswered();

    /** Handles an order that met another incarnation, or an engine without the model. */
    void onOrderMisdirected();

    /** Handles evidence that another host owns the engine. */
    void onSuperseded(String reason);
  }

  EngineOrderSender(
      HostContext context,
      EngineControl control,
      FleetEndpoint engine,
      EngineOwnership ownership,
      OwnershipRules rules,
      EngineReportReader reports,
      OwnedEngineLog log,
      Listener listener) {
    this.context = context;
    this.control = control;
    this.engine = engine;
    this.ownership = ownership;
    this.rules = rules;
    this.reports = reports;
    this.log = log;
    this.listener = listener;
  }

  /** Adds an order under the current ownership; without one the order is void. */
  void add(AdapterOrder order) {
    ownership.ownershipNumber().ifPresent(number -> orders.add(new OwnedOrder(order, number)));
  }

  private boolean isValid(OwnedOrder order) {
    return OwnedOrders.isValid(order, ownership.ownershipNumber());
  }

  private boolean mayBeSent(OwnedOrder order) {
    return isValid(order) && listener.mayOrder() && !rules.isSuperseded();
  }

  /** Sends the next order if there is one and nothing speaks against it. */
  void sendNext() {
    long now = context.now();
    if (!orders.hasNext(ownership.ownershipNumber())) {
      heldSinceMillis = OptionalLong.empty();
      return;
    }
    if (inFlight || !listener.mayOrder()) {
      return;
    }
    if (rules.isSuperseded()) {
      listener.onSuperseded("higher-token");
      return;
    }
    if (!ownership.isActive(now) && (!rules.isInMajority() || listener.isUnreachable())) {
      return;
    }
    if (!ownership.isActive(now) && rules.needsConfirmation()) {
      ownership.requireConsent(now);
    }
    if (ownership.isInDoubt()) {
      resolveDoubt();
      return;
    }
    if (orders.isNextLoad(ownership.ownershipNumber()) && isLoadHeld(now)) {
      return;
    }
    if (!ownership.isActive(now) && rules.needsReport()) {
      reports.read("idle-owner");
      return;
    }
    orders.takeNext(ownership.ownershipNumber(), now).ifPresent(this::send);
  }

  private boolean isLoadHeld(long now) {
    heldSinceMillis = OptionalLong.of(heldSinceMillis.orElse(now));
    return now < loadsHeldUntilMillis || rules.isToBeHeld(now - heldSinceMillis.getAsLong());
  }

  /** Finds out whether orders without a clear result were counted, and whose those were. */
  void resolveDoubt() {
    if (ownership.needsConsent()) {
      if (rules.confirmOwnership()) {
        sendNext();
      }
    } else if (ownership.isReportComparable(context.now())) {
      reports.read("doubt");
    }
  }

  private void send(OwnedOrder order) {
    inFlight = true;
    heldSinceMillis = OptionalLong.empty();
    ownership.recordOrderUnderWay(context.now());
    long expectedOrderCount = ownership.expectedOrderCount().orElse(0);
    long fencingToken = ownership.fencingToken().orElseThrow();
    OwnershipEvidence evidence = rules.evidence();
    boolean contestable = rules.isContestable();
    control
        .order(
            engine,
            order.order(),
            expectedOrderCount,
            context.host(),
            fencingToken,
            () -> mayBeSent(order))
        .onSuccess(
            result -> {
              if (contestable && !order.order().load()) {
                // Until then another part may send loads that rest on a report from before.
                loadsHeldUntilMillis = context.now() + OwnershipRules.UNCERTAIN_HOLD_MILLIS;
              }
              processResult(order, result, evidence);
            });
  }

  private void processResult(OwnedOrder order, OrderResult result, OwnershipEvidence evidence) {
    inFlight = false;
    ownership.recordOrderUnderWay(context.now());
    if (closed) {
      return;
    }
    if (!isValid(order)) {
      log.writeOrder("order-void", order.order(), result);
      orders.discard(order);
    } else if (result == OrderResult.NOT_SENT) {
      log.writeOrder("order-void", order.order(), result);
      orders.add(order);
      return;
    } else {
      processValidResult(order, result, evidence);
    }
    sendNext();
  }

  private void processValidResult(
      OwnedOrder order, OrderResult result, OwnershipEvidence evidence) {
    long now = context.now();
    orders.recordAnswer(order, now);
    // The engine answers a repeated load in the same way as the first one but counts it only once.
    boolean first = orders.recordCounted(order);
    if (first || result != OrderResult.ACCEPTED) {
      log.writeAnsweredOrder(order.order(), result, evidence);
    }
    switch (result) {
      case ACCEPTED -> {
        if (first && orders.wasAbandoned(order)) {
          ownership.recordPossiblyAcceptedOrder(now);
        } else if (first) {
          ownership.recordAcceptedOrder(now);
        }
        scheduleCheck(order, first ? FIRST_CHECK_DELAY_MILLIS : CHECK_INTERVAL_MILLIS);
      }
      case HOLDS -> {
        if (first && !order.order().load()) {
          ownership.recordPossiblyAcceptedOrder(now);
        }
        finish(order, true);
      }
      case CONFLICT -> {
        orders.recordUncounted(order);
        boolean comparable = ownership.isReportComparable(now);
        ownership.recordConflict(now);
        handleConflict(order, comparable);
      }
      case FENCED -> {
        finish(order, false);
        listener.onSuperseded("fenced");
      }
      case MISDIRECTED -> {
        listener.onOrderMisdirected();
        finish(order, false);
      }
      case UNKNOWN -> {
        orders.recordUncounted(order);
        boolean comparable = ownership.isReportComparable(now);
        ownership.recordUnconfirmedOrder(now);
        listener.onOrderUnanswered();
        handleConflict(order, comparable);
      }
      default -> finish(order, false);
    }
  }

  /** Reads a report at once if it may show orders of another host; a later one ends the doubt. */
  private void handleConflict(OwnedOrder order, boolean comparable) {
    if (comparable) {
      reports.read("conflict");
    }
    scheduleCheck(order, CONFLICT_DELAY_MILLIS);
  }

  private void scheduleCheck(OwnedOrder order, long millis) {
    if (isOverdue(order) && orders.recordOverdue(order)) {
      log.writeOrder("order-overdue", order.order(), orders.ageMillis(order, context.now()));
    }
    context.vertx().setTimer(millis, id -> check(order));
  }

  private boolean isOverdue(OwnedOrder order) {
    return orders.ageMillis(order, context.now()) > ORDER_TIMEOUT_MILLIS;
  }

  /**
   * Checks whether an order is complete by repeating the order, which is cheap, or by reading a
   * report. A repetition does not increase the engine's order count, but a host that sees an
   * unchanged count relies on no order being sent during the lease: repetitions are limited to
   * {@link #REPEAT_WINDOW_MILLIS}.
   */
  void check(OwnedOrder order) {
    if (!isValid(order)) {
      orders.discard(order);
      return;
    }
    boolean repeatable =
        !isOverdue(order)
            && (!orders.isCounted(order)
                || context.now() - ownership.unchangedSinceMillis() <= REPEAT_WINDOW_MILLIS);
    if (repeatable) {
      orders.add(order);
      sendNext();
    } else {
      orders.awaitReport(order);
      reports.read("order-check");
    }
  }

  /** Decides about the orders that wait for a report, and sends the next one. */
  void processReport(EngineReport report, long requestedAtMillis) {
    for (OwnedOrder order : orders.takeAwaiting()) {
      boolean shown = orders.isShown(order, requestedAtMillis);
      if (report.isDone(order.order()) && (shown || order.order().load())) {
        finish(order, true);
      } else if (shown && isOverdue(order) && !mayBeCarriedOut(order, report)) {
        abandon(order, report);
      } else {
        scheduleCheck(order, checkIntervalMillis(order));
      }
    }
    sendNext();
  }

  private long checkIntervalMillis(OwnedOrder order) {
    return isOverdue(order)
        ? OVERDUE_CHECK_INTERVAL_MILLIS
        : EngineReportReader.READ_INTERVAL_MILLIS;
  }

  /**
   * Indicates whether the engine may still carry out an order that is not complete. An accepted
   * unload or replacement waits for the runs on the adapter, which the report lists meanwhile.
   */
  private boolean mayBeCarriedOut(OwnedOrder order, EngineReport report) {
    String adapter = order.order().adapter();
    boolean waitsForRuns =
        orders.isCounted(order)
            && report.adapters().containsKey(adapter)
            && (!order.order().load() || !listener.isIdle(adapter));
    return report.loading().containsKey(adapter) || waitsForRuns;
  }

  private void abandon(OwnedOrder order, EngineReport report) {
    String adapter = order.order().adapter();
    Long version = report.adapters().get(adapter);
    long ageMillis = orders.ageMillis(order, context.now());
    log.writeOrder("order-abandoned", order.order(), ageMillis);
    orders.discard(order);
    orders.recordAbandoned(order);
    listener.onOrderAbandoned(
        order.order(), version == null ? OptionalLong.empty() : OptionalLong.of(version));
  }

  /** Has the orders that wait for a report checked later, as none was received. */
  void processNoReport() {
    orders.takeAwaiting().forEach(order -> scheduleCheck(order, checkIntervalMillis(order)));
  }

  private void finish(OwnedOrder order, boolean done) {
    orders
        .finish(order, context.now())
        .ifPresent(age -> log.writeOrder(done ? "order-done" : "order-failed", order.order(), age));
    listener.onOrderEnd(order.order(), done);
  }

  /** Removes the orders that wait to be sent. */
  void clear() {
    orders.clearQueue();
  }

  /** Ignores the results that arrive from now on. */
  void close() {
    closed = true;
    clear();
  }
}
