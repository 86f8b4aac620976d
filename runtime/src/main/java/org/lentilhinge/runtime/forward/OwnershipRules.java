package org.lentilhinge.runtime.forward;

import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.permit.EngineOwnership;
import org.lentilhinge.permit.EngineSelector;
import org.lentilhinge.permit.OrderCounts;
import org.lentilhinge.permit.OwnershipClaim;

/** What the other hosts mean for the ownership of one incarnation of an engine. */
final class OwnershipRules {

  /**
   * The time without contact to the majority of the hosts after which an idle owner relinquishes
   * the engine, in milliseconds. Together with the detection of silent hosts it is shorter than the
   * time after which a host in the majority may take over.
   */
  private static final long MAXIMUM_ISOLATION_MILLIS = 600;

  /**
   * The addition to the wait for a takeover after another host's claim, in milliseconds. An idle
   * owner states its ownership once a second and may be cut off just before the next claim.
   */
  static final long CLAIM_MARGIN_MILLIS = 300;

  /** The time before a possible takeover at which it is prepared, in milliseconds. */
  private static final long PREPARATION_MILLIS = 1_000;

  /** The earliest retry for requests that need a host in the majority, in milliseconds. */
  private static final long ISOLATION_RETRY_MILLIS = 1_000;

  /**
   * The time for which the loads of an idle owner are held back in an uncertain majority, in
   * milliseconds. It covers the age of a report and the way of an order.
   */
  static final long UNCERTAIN_HOLD_MILLIS = 1_200;

  /** The additional time of a host in each further slot, so that two such hosts differ. */
  private static final long UNCERTAIN_HOLD_SLOT_MILLIS = 1_000;

  private static final int UNCERTAIN_HOLD_SLOTS = 3;

  private final HostContext context;
  private final HostState state;
  private final FleetEndpoint engine;
  private final EngineOwnership ownership;
  private final OrderCounts counts;
  private final OwnershipConsent consent;
  private final long uncertainHoldMillis;

  OwnershipRules(
      HostContext context,
      HostState state,
      FleetEndpoint engine,
      EngineOwnership ownership,
      OrderCounts counts,
      OwnershipConsent consent) {
    this.context = context;
    this.state = state;
    this.engine = engine;
    this.ownership = ownership;
    this.counts = counts;
    this.consent = consent;
    uncertainHoldMillis = uncertainHoldMillis(context.host());
  }

  /** Returns the time after a claim during which its host may send orders, in milliseconds. */
  static long claimMillis(long leaseMillis) {
    return leaseMillis + EngineOwnership.MAXIMUM_REPORT_AGE_MILLIS + CLAIM_MARGIN_MILLIS;
  }

  /** Indicates whether this host may take over engines and use those that it owns when idle. */
  boolean isInMajority() {
    return state.millisWithoutMajority() == 0;
  }

  /**
   * Indicates whether an idle owner has to compare the order count before its next order. A host
   * that this one has never heard of can have taken the engine over once it was idle for the lease.
   */
  boolean needsReport() {
    long now = context.now();
    boolean recent =
        state.hosts().majority().isWhole()
            && now - ownership.unchangedSinceMillis() <= context.settings().bounds().leaseMillis();
    return !recent && !ownership.isCountConfirmed(now);
  }

  /**
   * Indicates whether this host is an idle owner while another part of the network may act as the
   * majority, too, so that its next order has to be one that the engine accepts of one host only:
   * an unload. The engine accepts an equal load that is under way of any host.
   */
  boolean isContestable() {
    return ownership.isOwner()
        && !ownership.isActive(context.now())
        && !state.hosts().majority().isCertain();
  }

  /**
   * Indicates whether a load of an idle owner has to wait because no adapter could be unloaded
   * first. A request that reaches both parts makes both order at once, and a report shows the order
   * of the other part only after some time.
   *
   * @param heldMillis the time for which the load has been held back, in milliseconds
   */
  boolean isToBeHeld(long heldMillis) {
    return isContestable() && heldMillis < uncertainHoldMillis;
  }

  private static long uncertainHoldMillis(String host) {
    long slot = Math.floorMod(RendezvousHash.hash(host), UNCERTAIN_HOLD_SLOTS);
    return UNCERTAIN_HOLD_MILLIS + slot * UNCERTAIN_HOLD_SLOT_MILLIS;
  }

  /** Indicates whether an idle owner may have missed that it has lost the engine. */
  boolean needsConfirmation() {
    return state.wasLateSince(ownership.consentedAtMillis());
  }

  /** Indicates whether hosts in the majority may be about to take over this idle engine. */
  boolean isToBeRelinquished() {
    return ownership.isOwner()
        && !ownership.isActive(context.now())
        && state.millisWithoutMajority() > MAXIMUM_ISOLATION_MILLIS;
  }

  /** Indicates whether a fencing token above that of this owner is known. */
  boolean isSuperseded() {
    long token = ownership.fencingToken().orElse(Long.MAX_VALUE);
    return state.engineSelector().claims().highestToken(engine.incarnation()) > token;
  }

  /**
   * Asks the other hosts for their consent to a takeover that is possible soon.
   *
   * @return whether the engine's count has to be read again, after which the takeover is possible
   */
  boolean prepareTakeover(int rank) {
    if (!isInMajority() || ownership.expectedOrderCount().isEmpty()) {
      return false;
    }
    if (ownership.remainingTakeoverMillis(rank, context.now()) <= PREPARATION_MILLIS) {
      state.requestFreshRevision();
      if (state.freshRevision() > 0) {
        consent.request(0);
      }
    }
    return ownership.isTakeoverDue(rank, context.now()) && consent.isGranted();
  }

  /** Takes the engine over if its count, the majority, all other hosts and the store allow it. */
  boolean tryTakeOver(int rank) {
    boolean allowed =
        !ownership.isOwner()
            && rank >= 0
            && isInMajority()
            && isCountConclusive()
            && consent.isGranted();
    long highestToken = state.engineSelector().claims().highestToken(engine.incarnation());
    boolean acquired =
        allowed && ownership.tryTakeOver(rank, state.freshRevision(), highestToken, context.now());
    if (acquired) {
      consent.reset();
    }
    return acquired;
  }

  /** Indicates whether the last report shows all orders that former owners may have sent. */
  private boolean isCountConclusive() {
    OptionalLong orderedAt = state.engineSelector().claims().orderedAtMillis(engine.incarnation());
    return orderedAt.isEmpty() || ownership.isReportedUntil(orderedAt.getAsLong());
  }

  /** Asks the other hosts to confirm an ownership in doubt; returns whether they have. */
  boolean confirmOwnership() {
    consent.request(ownership.fencingToken().orElseThrow());
    return recordConsent();
  }

  /** Ends the doubt that only the other hosts can end, if they all consent. */
  boolean recordConsent() {
    boolean granted = ownership.isOwner() && ownership.needsConsent() && consent.isGranted();
    if (granted) {
      ownership.recordConsent(context.now());
      consent.reset();
    }
    return granted;
  }

  /** Returns the time until the earliest possible takeover by this host, in milliseconds. */
  long remainingTakeoverMillis(int rank) {
    long remainingMillis =
        Math.max(ownership.remainingTakeoverMillis(rank, context.now()), consent.remainingMillis());
    return isInMajority() ? remainingMillis : Math.max(remainingMillis, ISOLATION_RETRY_MILLIS);
  }

  /**
   * Counts the wait for a takeover from the first reading of the count by any host, but not from a
   * time before the last claim of another host, which may still be about to send an order.
   */
  void useCountsOfOtherHosts(long acceptedOrders) {
    EngineSelector selector = state.engineSelector();
    if (!selector.isOwnedElsewhere(engine.incarnation(), context.host(), context.now())) {
      long earliestMillis =
          latestClaimElsewhere()
              .map(claim -> claim.heardAtMillis() + CLAIM_MARGIN_MILLIS)
              .orElse(Long.MIN_VALUE);
      counts
          .unchangedSince(engine.incarnation(), acceptedOrders)
          .ifPresent(since -> ownership.recordUnchangedSince(Math.max(since, earliestMillis)));
    }
  }

  private Optional<OwnershipClaim> latestClaimElsewhere() {
    return state.engineSelector().claims().latestElsewhere(engine.incarnation(), context.host());
  }

  /** Returns what this host knows of the ownership of the engine. */
  OwnershipEvidence evidence() {
    long now = context.now();
    return new OwnershipEvidence(
        latestClaimElsewhere(),
        state.engineSelector().claims().highestToken(engine.incarnation()),
        now - ownership.unchangedSinceMillis(),
        state.hosts().liveHosts().size() + 1,
        isInMajority(),
        state.hosts().majority().isWhole(),
        state.hosts().majority().isCertain(),
        state.revisionAgeMillis(),
        now);
  }
}
