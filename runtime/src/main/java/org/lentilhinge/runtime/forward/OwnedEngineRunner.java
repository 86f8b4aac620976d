package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.demand.AdapterLoad;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.permit.AdapterOrder;
import org.lentilhinge.permit.EndedPermits;
import org.lentilhinge.permit.EngineCommand;
import org.lentilhinge.permit.EngineOwnership;
import org.lentilhinge.permit.EngineScheduler;
import org.lentilhinge.permit.EngineStatus;
import org.lentilhinge.permit.OrderCount;
import org.lentilhinge.permit.OrderCounts;
import org.lentilhinge.permit.OwnershipAnswer;
import org.lentilhinge.permit.OwnershipObjection;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRecovery;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitReturn;

/**
 * Runs the scheduler of one incarnation of an engine: answers permit requests, and sends the
 * scheduler's orders to the engine one at a time while this host owns the engine.
 */
final class OwnedEngineRunner implements EngineReportReader.Listener, EngineOrderSender.Listener {

  /** The delay of a second report read, in milliseconds; the first may miss the latest orders. */
  private static final long SECOND_READ_DELAY_MILLIS = 400;

  /** The time in which the count may still rise by orders of former owners, in milliseconds. */
  private static final long FIRST_COUNTS_MILLIS = 1_000;

  /** The time without a response of the engine after which an owner relinquishes it, in millis. */
  private static final long MAXIMUM_UNREACHABLE_MILLIS = 3_000;

  private static final String FIRST_READ = "opened";

  private final HostContext context;
  private final PeerSender peers;
  private final StatusExchange statuses;
  private final HostState state;
  private final FleetEndpoint engine;
  private final EngineScheduler scheduler;
  private final EngineOwnership ownership;
  private final OrderCounts counts;
  private final OwnershipConsent consent;
  private final OwnershipRules ownershipRules;
  private final OwnedEngineLog log;
  private final PermitMetrics permitMetrics;
  private final DecisionTimer decisionTimer;
  private final EngineReportReader reports;
  private final EngineOrderSender orders;

  /** Whether the state of the engine differs from the state that its scheduler assumes. */
  private boolean schedulerOutdated;

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
    this.peers = peers;
    this.statuses = statuses;
    this.state = state;
    this.engine = engine;
    this.scheduler = scheduler;
    this.ownership =
        new EngineOwnership(
            context.settings().bounds().leaseMillis(), RendezvousHash.hash(context.host()));
    log = new OwnedEngineLog(context.log(), engine, ownership);
    permitMetrics = new PermitMetrics(context.metrics());
    consent = new OwnershipConsent(context, state, peers, engine, log);
    ownershipRules = new OwnershipRules(context, state, engine, ownership, counts, consent);
    decisionTimer =
        new DecisionTimer(
            context.vertx(), scheduler, () -> execute(scheduler.decide(context.now())));
    reports = new EngineReportReader(context, control, engine, this);
    orders =
        new EngineOrderSender(
            context, control, engine, ownership, ownershipRules, reports, log, this);
    createdAtMillis = context.now();
    lastTickAtMillis = createdAtMillis;
    scheduler.awaitReport();
    reports.read(FIRST_READ);
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
    EngineStatus status =
        scheduler.status(engine.incarnation(), ownership.isOwner(), context.now());
    return status
        .withFencingToken(ownership.fencingToken().orElse(0))
        .withLoads(
            status.loads().stream().map(load -> load.withService(engine.service())).toList());
  }

  /** Loads an adapter ahead of its requests, if the engine has time and room for it. */
  void loadAhead(AdapterLoad expected) {
    scheduler.setUnloadFirst(ownershipRules.isContestable());
    if (!leaving && ownership.isOwner()) {
      long version = state.adapterVersion(scheduler.model(), expected.adapter());
      execute(
          scheduler.loadAhead(
              expected.adapter(), version, expected.requestsPerSecond(), context.now()));
    }
  }

  void submit(String host, PermitRequest request) {
    scheduler.setUnloadFirst(ownershipRules.isContestable());
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

  /**
   * Records that another host announced its ownership of the engine. The higher token prevails, or
   * the other host if it states none: the orders of this host are void then.
   */
  void recordOtherOwner(String host, long fencingToken) {
    if (ownership.isOwner()) {
      log.writeClaimHeard(host, fencingToken);
      if (fencingToken > 0 && fencingToken < ownership.fencingToken().orElseThrow()) {
        statuses.sendTo(host, status());
        return;
      }
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
      orders.clear();
      execute(scheduler.refuseWaiting(0, PermitAnswer.ENDPOINT_LEFT, context.now()));
    }
    if (leaving) {
      return;
    }
    scheduler.setUnloadFirst(ownershipRules.isContestable());
    recoverPermits(EndedPermits.expired(), "expired");
    execute(scheduler.decide(context.now()));
    prepareTakeover();
    if (scheduler.isUnreachable(context.now()) && reports.isDue()) {
      reports.read("unreachable");
    }
    if (ownership.isOwner() && scheduler.needsReport() && reports.isDue()) {
      reports.read("loading");
    }
    if (!ownership.isOwner()
        && !secondReadStarted
        && context.now() - createdAtMillis >= SECOND_READ_DELAY_MILLIS) {
      secondReadStarted = true;
      reports.read("confirm");
    }
    if (ownershipRules.isToBeRelinquished()) {
      relinquish("no-majority");
    }
    if (ownership.isOwner() && ownership.isInDoubt()) {
      orders.resolveDoubt();
    }
    if (ownership.isOwner() && ownership.isInDoubtForLong(context.now())) {
      relinquish("unconfirmed");
    }
  }

  private void prepareTakeover() {
    int rank = state.ownerRanking(engine).indexOf(context.host());
    if (ownership.isOwner() || rank < 0 || reports.isUnanswered()) {
      return;
    }
    scheduler.setCanOrderIn(ownershipRules.remainingTakeoverMillis(rank));
    if (ownershipRules.prepareTakeover(rank) && reports.isDue()) {
      reports.read("take");
    }
  }

  /** Returns why another host may not own the engine, as far as this host is concerned. */
  Optional<OwnershipObjection> objectTo(String host, long fencingToken) {
    if (ownership.isOwner() && fencingToken > ownership.fencingToken().orElseThrow()) {
      recordOtherOwner(host, fencingToken);
    }
    long remainingMillis = ownership.remainingLeaseMillis(context.now());
    if (ownership.isOwner()) {
      return Optional.of(new OwnershipObjection(OwnershipObjection.OWNED, context.host(), 0));
    } else if (fencingToken == 0 && remainingMillis > 0) {
      return Optional.of(new OwnershipObjection("ordered", context.host(), remainingMillis));
    }
    return consent.yieldTo(host);
  }

  /** Handles the answer of a host to a query about the ownership of the engine. */
  void receive(OwnershipAnswer answer) {
    if (consent.receive(answer)) {
      if (ownershipRules.recordConsent()) {
        orders.sendNext();
      }
      prepareTakeover();
    }
  }

  @Override
  public void onNoReport() {
    markUnreachable("report-failed");
  }

  private void markUnreachable(String reason) {
    log.writeUnreachable(reason);
    reports.recordUnreachable();
    if (ownership.isOwner() && reports.unreachableMillis() >= MAXIMUM_UNREACHABLE_MILLIS) {
      relinquish("engine-unreachable");
    }
    orders.processNoReport();
    execute(scheduler.markUnreachable(context.now()));
  }

  @Override
  public void onReport(EngineReport report, long requestedAtMillis, String reason) {
    long now = context.now();
    scheduler.markReachable();
    boolean wasOwner = ownership.isOwner();
    if (report.startedAtMillis().orElse(engine.startedAtMillis()) != engine.startedAtMillis()) {
      // Another incarnation at the same address, of which this host knows nothing yet.
      relinquish("engine-restarted");
      markUnreachable("other-incarnation");
      return;
    }
    boolean comparable = ownership.expectedOrderCount().isPresent();
    ownership.recordOrderCount(report.acceptedOrders(), requestedAtMillis, now);
    boolean raised = counts.recordCount(engine.incarnation(), report.acceptedOrders(), now);
    boolean raisedElsewhere = comparable && raised && now - createdAtMillis > FIRST_COUNTS_MILLIS;
    if (wasOwner ? !ownership.isOwner() : raisedElsewhere) {
      state.hosts().majority().recordOrderElsewhere(now);
    }
    ownershipRules.useCountsOfOtherHosts(report.acceptedOrders());
    int rank = state.ownerRanking(engine).indexOf(context.host());
    boolean acquired = !wasOwner && ownershipRules.tryTakeOver(rank);
    if (acquired) {
      log.writeTakeover(rank, state.freshRevision(), ownershipRules.evidence());
    }
    if (!wasOwner || schedulerOutdated) {
      schedulerOutdated = false;
      scheduler.updateFromReport(
          !report.models().isEmpty(), report.adapters(), report.loading(), now);
    } else {
      scheduler.recordReport(report.adapters(), report.loading(), requestedAtMillis, now);
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
    orders.processReport(report, requestedAtMillis);
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
        permitMetrics.record(answer);
        peers.send(answer.host(), answer.answer());
      } else if (command instanceof EngineCommand.Order order) {
        log.writeOrder("order-decided", order.order(), order.reason());
        orders.add(order.order());
      } else if (command instanceof EngineCommand.CheckReachable) {
        reports.read("unreachable-elsewhere");
      }
    }
    orders.sendNext();
    decisionTimer.scheduleIfWaiting();
  }

  /**
   * Indicates whether this host may send orders. After a pause of the process other hosts may own
   * the engine, which the next tick takes into account.
   */
  @Override
  public boolean mayOrder() {
    boolean paused = context.now() - lastTickAtMillis > EngineSchedulers.MAXIMUM_TICK_GAP_MILLIS;
    return !closed && !leaving && !paused;
  }

  @Override
  public boolean isUnreachable() {
    return scheduler.isUnreachable(context.now());
  }

  @Override
  public void onOrderEnd(AdapterOrder order, boolean done) {
    scheduler.setUnloadFirst(ownershipRules.isContestable());
    execute(scheduler.recordOrder(order, done, context.now()));
  }

  @Override
  public void onOrderAbandoned(AdapterOrder order, OptionalLong residentVersion) {
    execute(scheduler.recordAbandonedOrder(order, residentVersion, context.now()));
  }

  @Override
  public boolean isIdle(String adapter) {
    return scheduler.isIdle(adapter);
  }

  @Override
  public void onOrderUnanswered() {
    markUnreachable("order-unanswered");
  }

  @Override
  public void onOrderMisdirected() {
    // The incarnation has ended or lost the model.
    schedulerOutdated = true;
    markUnreachable("order-misdirected");
  }

  @Override
  public void onSuperseded(String reason) {
    relinquish(reason);
  }

  /** Checks whether an order is complete. */
  void checkOrder(OwnedOrder order) {
    orders.check(order);
  }

  /** Stops the runner. Waiting requests end when their hosts detect the loss of host or engine. */
  void close() {
    closed = true;
    decisionTimer.close();
    reports.close();
    orders.close();
  }
}
