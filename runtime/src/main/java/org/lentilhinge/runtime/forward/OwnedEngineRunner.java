package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.permit.EndedPermits;
import org.lentilhinge.permit.EngineCommand;
import org.lentilhinge.permit.EngineOwnership;
import org.lentilhinge.permit.EngineScheduler;
import org.lentilhinge.permit.EngineStatus;
import org.lentilhinge.permit.OrderCount;
import org.lentilhinge.permit.OrderCounts;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRecovery;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitReturn;

/**
 * Runs the scheduler of one incarnation of an engine: answers permit requests, and sends the
 * scheduler's orders to the engine one at a time while this host owns the engine.
 */
final class OwnedEngineRunner {

  /** The delay of the first check whether an accepted order is complete, in milliseconds. */
  private static final long FIRST_CHECK_DELAY_MILLIS = 25;

  /** The interval between further checks of an accepted order, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 40;

  /** The delay before an order is sent again after a conflict or no response, in milliseconds. */
  private static final long CONFLICT_DELAY_MILLIS = 150;

  /** The minimum interval between report reads of an engine that may be down, in milliseconds. */
  private static final long READ_INTERVAL_MILLIS = 300;

  /** The delay of a second report read, in milliseconds; the first may miss the latest orders. */
  private static final long SECOND_READ_DELAY_MILLIS = 400;

  /**
   * The time after the last counted order during which unfinished orders are repeated, in
   * milliseconds. It covers a load from the store, which takes 290 ms, and must be covered by the
   * 400 ms that {@link EngineOwnership} of other hosts adds to the lease.
   */
  private static final long REPEAT_WINDOW_MILLIS = 330;

  /** The time before a possible takeover at which a fresh revision is read, in milliseconds. */
  private static final long REVISION_LEAD_MILLIS = 300;

  /** The time after which an order that is not complete counts as failed, in milliseconds. */
  private static final long ORDER_TIMEOUT_MILLIS = 10_000;

  private static final String FIRST_READ = "opened";

  private final HostContext context;
  private final EngineControl control;
  private final PeerSender peers;
  private final StatusExchange statuses;
  private final HostState state;
  private final FleetEndpoint engine;
  private final EngineScheduler scheduler;
  private final EngineOwnership ownership;
  private final OrderCounts counts;
  private final OwnershipRules ownershipRules;
  private final OwnedEngineLog log;
  private final DecisionTimer decisionTimer;
  private final OwnedOrders orders = new OwnedOrders();
  private boolean orderInFlight;
  private boolean readInFlight;

  /** Whether the state of the engine differs from the state that its scheduler assumes. */
  private boolean schedulerOutdated;

  private long lastReadAtMillis;
  private final long createdAtMillis;
  private long lastTickAtMillis;
  private boolean secondReadStarted;
  private boolean leaving;
  private boolean closed;

  OwnedEngineRunner(
      HostContext context,
      EngineControl control,
      PeerSender peers,
      StatusExchange statuses,
      HostState state,
      FleetEndpoint engine,
      EngineScheduler scheduler,
      OrderCounts counts) {
    this.counts = counts;
    this.context = context;
    this.control = control;
    this.peers = peers;
    this.statuses = statuses;
    this.state = state;
    this.engine = engine;
    this.scheduler = scheduler;
    this.ownership =
        new EngineOwnership(
            context.settings().bounds().leaseMillis(), RendezvousHash.hash(context.host()));
    ownershipRules = new OwnershipRules(context, state, engine, ownership, counts);
    log = new OwnedEngineLog(context.log(), engine, ownership);
    decisionTimer =
        new DecisionTimer(
            context.vertx(), scheduler, () -> execute(scheduler.decide(context.now())));
    createdAtMillis = context.now();
    lastTickAtMillis = createdAtMillis;
    scheduler.awaitReport();
    readReport(FIRST_READ);
  }

  FleetEndpoint engine() {
    return engine;
  }

  OptionalLong ownershipNumber() {
    return ownership.ownershipNumber();
  }

  boolean isOwner() {
    return ownership.isOwner();
  }

  boolean isBusy() {
    return scheduler.isBusy();
  }

  EngineStatus status() {
    return scheduler
        .status(engine.incarnation(), ownership.isOwner(), context.now())
        .withFencingToken(ownership.fencingToken().orElse(0));
  }

  void submit(String host, PermitRequest request) {
    if (leaving) {
      String reason = PermitAnswer.ENDPOINT_LEFT;
      execute(List.of(EngineCommand.Answer.refusal(host, request, 0, reason, 0)));
    } else {
      execute(scheduler.submit(host, request, context.now()));
    }
  }

  void release(String host, PermitReturn permitReturn) {
    execute(scheduler.release(host, permitReturn, context.now()));
  }

  /** Recovers permits that have ended without being returned. */
  void recoverPermits(EndedPermits ended, String reason) {
    PermitRecovery recovery = scheduler.recoverPermits(ended, context.now());
    if (recovery.permits() > 0) {
      log.writeRecovery(reason, recovery.permits());
      execute(recovery.commands());
    }
  }

  /** Records that another host announced its ownership of the engine; its orders are void. */
  void recordOtherOwner(String host, long fencingToken) {
    if (ownership.isOwner()) {
      log.writeClaimHeard(host, fencingToken);
      log.writeOwnershipLost(host);
    }
    ownership.recordOtherOwner(context.now());
    scheduler.setCanOrder(false);
  }

  /**
   * Relinquishes the engine after a pause of this process, in which another host may have taken
   * over, or because this host stops. The next owner's wait is counted from the last order.
   */
  void relinquish(String reason) {
    if (ownership.isOwner()) {
      log.writeOwnershipLost(reason);
      counts.recordCount(
          engine.incarnation(),
          ownership.expectedOrderCount().orElse(0),
          ownership.unchangedSinceMillis());
    }
    ownership.relinquish(context.now());
    scheduler.setCanOrder(false);
    execute(scheduler.decide(context.now()));
  }

  /** Makes the decisions that depend only on time, and starts a takeover of the engine if due. */
  void tick() {
    lastTickAtMillis = context.now();
    if (!leaving && state.endpoints().isDraining(engine.incarnation())) {
      leaving = true;
      orders.clearQueue();
      execute(scheduler.refuseWaiting(0, PermitAnswer.ENDPOINT_LEFT, context.now()));
    }
    if (leaving) {
      return;
    }
    recoverPermits(EndedPermits.expired(), "expired");
    execute(scheduler.decide(context.now()));
    if (scheduler.isUnreachable(context.now())
        && context.now() - lastReadAtMillis >= READ_INTERVAL_MILLIS) {
      readReport("unreachable");
    }
    if (!ownership.isOwner()
        && !secondReadStarted
        && context.now() - createdAtMillis >= SECOND_READ_DELAY_MILLIS) {
      secondReadStarted = true;
      readReport("confirm");
    }
    if (ownershipRules.isToBeRelinquished()) {
      relinquish("no-majority");
    }
    int rank = state.ownerRanking(engine).indexOf(context.host());
    if (!ownership.isOwner() && rank >= 0) {
      boolean inMajority = ownershipRules.isInMajority();
      long remainingMillis = ownershipRules.remainingTakeoverMillis(rank);
      scheduler.setCanOrderIn(remainingMillis);
      if (inMajority && remainingMillis <= REVISION_LEAD_MILLIS) {
        state.requestFreshRevision();
      }
      if (inMajority
          && ownership.isTakeoverDue(rank, context.now())
          && context.now() - lastReadAtMillis >= READ_INTERVAL_MILLIS) {
        readReport("take");
      }
    }
  }

  private void readReport(String reason) {
    if (readInFlight || closed) {
      return;
    }
    readInFlight = true;
    lastReadAtMillis = context.now();
    control
        .report(engine)
        .onComplete(
            result -> {
              readInFlight = false;
              if (result.succeeded()) {
                scheduler.markReachable();
                processReport(result.result(), reason);
              } else {
                markUnreachable("report-failed");
              }
            });
  }

  private void markUnreachable(String reason) {
    log.writeUnreachable(reason);
    orders.takeAwaiting().forEach(order -> scheduleCheck(order, READ_INTERVAL_MILLIS));
    execute(scheduler.markUnreachable(context.now()));
  }

  private void processReport(EngineReport report, String reason) {
    long now = context.now();
    boolean wasOwner = ownership.isOwner();
    if (report.startedAtMillis().orElse(engine.startedAtMillis()) != engine.startedAtMillis()) {
      // Another incarnation at the same address, of which this host knows nothing yet.
      relinquish("engine-restarted");
      markUnreachable("other-incarnation");
      return;
    }
    ownership.recordOrderCount(report.acceptedOrders(), now);
    counts.recordCount(engine.incarnation(), report.acceptedOrders(), now);
    ownershipRules.useCountsOfOtherHosts(report.acceptedOrders());
    int rank = state.ownerRanking(engine).indexOf(context.host());
    boolean acquired =
        !wasOwner
            && rank >= 0
            && ownershipRules.isInMajority()
            && ownership.tryTakeOver(rank, state.freshRevision(), now);
    if (acquired) {
      log.writeTakeover(rank, state.freshRevision(), ownershipRules.evidence());
    }
    if (!wasOwner || schedulerOutdated) {
      schedulerOutdated = false;
      scheduler.updateFromReport(
          !report.models().isEmpty(), report.adapters(), report.loading(), now);
    }
    log.writeReport(report, reason, scheduler.promptTokensPerMillisecond());
    if (wasOwner && !ownership.isOwner()) {
      log.writeOwnershipLost("order-count");
    }
    scheduler.setCanOrder(ownership.isOwner());
    if (rank >= 0) {
      scheduler.setCanOrderIn(ownershipRules.remainingTakeoverMillis(rank));
    }
    if (acquired || reason.equals(FIRST_READ)) {
      publishStatus();
    }
    execute(scheduler.decide(now));
    checkAwaitingOrders(report);
    sendNextOrder();
  }

  /** Returns the engine's count of accepted orders and its age, or empty if it is not known. */
  Optional<OrderCount> orderCount() {
    long now = context.now();
    if (ownership.isOwner()) {
      counts.recordCount(
          engine.incarnation(),
          ownership.expectedOrderCount().orElse(0),
          ownership.unchangedSinceMillis());
    }
    return counts.highestCount(engine.incarnation(), now);
  }

  private void publishStatus() {
    statuses.publish(List.of(status()), orderCount().stream().toList());
  }

  private void execute(List<EngineCommand> commands) {
    for (EngineCommand command : commands) {
      if (command instanceof EngineCommand.Answer answer) {
        log.writeAnswer(answer);
        peers.send(answer.host(), answer.answer());
      } else if (command instanceof EngineCommand.Order order) {
        log.writeOrder("order-decided", order.order(), order.reason());
        ownership
            .ownershipNumber()
            .ifPresent(number -> orders.add(new OwnedOrder(order.order(), number)));
      } else if (command instanceof EngineCommand.CheckReachable) {
        readReport("unreachable-elsewhere");
      }
    }
    sendNextOrder();
    decisionTimer.scheduleIfWaiting();
  }

  private boolean isValid(OwnedOrder order) {
    return OwnedOrders.isValid(order, ownership.ownershipNumber());
  }

  private void sendNextOrder() {
    long now = context.now();
    if (orderInFlight || !mayOrder() || !orders.hasNext(ownership.ownershipNumber())) {
      return;
    }
    if (!ownership.isActive(now)
        && (!ownershipRules.isInMajority() || scheduler.isUnreachable(now))) {
      return;
    }
    if (!ownership.isActive(now) && ownershipRules.needsReport()) {
      readReport("idle-owner");
      return;
    }
    orders.takeNext(ownership.ownershipNumber(), now).ifPresent(this::send);
  }

  /**
   * Indicates whether this host may send orders. After a pause of the process other hosts may own
   * the engine, which the next tick takes into account.
   */
  private boolean mayOrder() {
    boolean paused = context.now() - lastTickAtMillis > EngineSchedulers.MAXIMUM_TICK_GAP_MILLIS;
    return !closed && !leaving && !paused;
  }

  private void send(OwnedOrder order) {
    orderInFlight = true;
    long expectedOrderCount = ownership.expectedOrderCount().orElse(0);
    long fencingToken = ownership.fencingToken().orElseThrow();
    OwnershipEvidence evidence = ownershipRules.evidence();
    if (fencingToken < evidence.highestToken()) {
      log.writeOrderBehind(evidence);
    }
    control
        .order(
            engine,
            order.order(),
            expectedOrderCount,
            context.host(),
            fencingToken,
            () -> mayOrder() && isValid(order))
        .onSuccess(result -> processResult(order, result, evidence));
  }

  private void processResult(OwnedOrder order, OrderResult result, OwnershipEvidence evidence) {
    orderInFlight = false;
    if (closed) {
      return;
    }
    if (!isValid(order)) {
      log.writeOrder("order-void", order.order(), result);
      orders.discard(order);
      sendNextOrder();
      return;
    }
    long now = context.now();
    // The engine answers a repeated load in the same way as the first one but counts it only once.
    if (result == OrderResult.NOT_SENT) {
      log.writeOrder("order-void", order.order(), result);
      orders.add(order);
      return;
    }
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
        finishOrder(order, true);
      }
      case CONFLICT -> {
        orders.recordUncounted(order);
        handleConflict(order);
      }
      case MISDIRECTED -> {
        // The incarnation has ended or lost the model. Reports are read every READ_INTERVAL_MILLIS.
        schedulerOutdated = true;
        markUnreachable("order-misdirected");
        finishOrder(order, false);
      }
      case UNKNOWN -> {
        orders.recordUncounted(order);
        ownership.recordUnconfirmedOrder();
        markUnreachable("order-unanswered");
        handleConflict(order);
      }
      default -> finishOrder(order, false);
    }
    sendNextOrder();
  }

  /**
   * Reads a report to compare the order counts if the report would be newer than the last order.
   */
  private void handleConflict(OwnedOrder order) {
    if (ownership.isReportComparable(context.now())) {
      readReport("conflict");
    }
    scheduleCheck(order, CONFLICT_DELAY_MILLIS);
  }

  private void scheduleCheck(OwnedOrder order, long millis) {
    if (orders.ageMillis(order, context.now()) > ORDER_TIMEOUT_MILLIS) {
      finishOrder(order, false);
      return;
    }
    context.vertx().setTimer(millis, id -> checkOrder(order));
  }

  /**
   * Checks whether an order is complete by repeating the order, which is cheap, or by reading a
   * report. A repetition does not increase the engine's order count, but a host that sees an
   * unchanged count relies on no order being sent during the lease: repetitions are limited to
   * {@link #REPEAT_WINDOW_MILLIS}.
   */
  void checkOrder(OwnedOrder order) {
    if (!isValid(order)) {
      orders.discard(order);
      return;
    }
    boolean repeatable =
        !orders.isCounted(order)
            || context.now() - ownership.unchangedSinceMillis() <= REPEAT_WINDOW_MILLIS;
    if (repeatable) {
      orders.add(order);
      sendNextOrder();
    } else {
      orders.awaitReport(order);
      readReport("order-check");
    }
  }

  private void checkAwaitingOrders(EngineReport report) {
    for (OwnedOrder order : orders.takeAwaiting()) {
      if (report.isDone(order.order())) {
        finishOrder(order, true);
      } else {
        scheduleCheck(order, READ_INTERVAL_MILLIS);
      }
    }
  }

  private void finishOrder(OwnedOrder order, boolean done) {
    orders
        .finish(order, context.now())
        .ifPresent(age -> log.writeOrder(done ? "order-done" : "order-failed", order.order(), age));
    execute(scheduler.recordOrder(order.order(), done, context.now()));
  }

  /** Stops the runner. Waiting requests end when their hosts detect the loss of host or engine. */
  void close() {
    closed = true;
    decisionTimer.close();
    orders.clearQueue();
  }
}
