package org.lentilhinge.runtime.forward;

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

  /** The time after which an order that is not complete counts as failed, in milliseconds. */
  private static final long ORDER_TIMEOUT_MILLIS = 10_000;

  private final HostContext context;
  private final EngineControl control;
  private final FleetEndpoint engine;
  private final EngineOwnership ownership;
  private final OwnershipRules rules;
  private final EngineReportReader reports;
  private final OwnedEngineLog log;
  private final Listener listener;
  private final OwnedOrders orders = new OwnedOrders();
  private boolean inFlight;
  private boolean closed;

  /** Decides when orders are sent, and receives their results. */
  interface Listener {

    /** Indicates whether this host may send orders, right before each is sent. */
    boolean mayOrder();

    /** Indicates whether the engine is in the backoff after it did not respond. */
    boolean isUnreachable();

    /** Handles the end of an order. */
    void onOrderEnd(AdapterOrder order, boolean done);

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
    if (inFlight || !listener.mayOrder() || !orders.hasNext(ownership.ownershipNumber())) {
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
    if (!ownership.isActive(now) && rules.needsReport()) {
      reports.read("idle-owner");
      return;
    }
    orders.takeNext(ownership.ownershipNumber(), now).ifPresent(this::send);
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
    ownership.recordOrderUnderWay(context.now());
    long expectedOrderCount = ownership.expectedOrderCount().orElse(0);
    long fencingToken = ownership.fencingToken().orElseThrow();
    OwnershipEvidence evidence = rules.evidence();
    control
        .order(
            engine,
            order.order(),
            expectedOrderCount,
            context.host(),
            fencingToken,
            () -> mayBeSent(order))
        .onSuccess(result -> processResult(order, result, evidence));
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
    // The engine answers a repeated load in the same way as the first one but counts it only once.
    boolean first = orders.recordCounted(order);
    if (first || result != OrderResult.ACCEPTED) {
      log.writeAnsweredOrder(order.order(), result, evidence);
    }
    switch (result) {
      case ACCEPTED -> {
        if (first) {
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
    if (orders.ageMillis(order, context.now()) > ORDER_TIMEOUT_MILLIS) {
      finish(order, false);
      return;
    }
    context.vertx().setTimer(millis, id -> check(order));
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
        !orders.isCounted(order)
            || context.now() - ownership.unchangedSinceMillis() <= REPEAT_WINDOW_MILLIS;
    if (repeatable) {
      orders.add(order);
      sendNext();
    } else {
      orders.awaitReport(order);
      reports.read("order-check");
    }
  }

  /** Decides about the orders that wait for a report, and sends the next one. */
  void processReport(EngineReport report) {
    for (OwnedOrder order : orders.takeAwaiting()) {
      if (report.isDone(order.order())) {
        finish(order, true);
      } else {
        scheduleCheck(order, EngineReportReader.READ_INTERVAL_MILLIS);
      }
    }
    sendNext();
  }

  /** Has the orders that wait for a report checked later, as none was received. */
  void processNoReport() {
    orders
        .takeAwaiting()
        .forEach(order -> scheduleCheck(order, EngineReportReader.READ_INTERVAL_MILLIS));
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
