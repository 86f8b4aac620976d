package org.lentilhinge.permit;

import java.util.OptionalLong;

/**
 * Decides whether this host owns one incarnation of an engine, that is, may send orders to it. The
 * engine is the arbiter: each order that it accepts increments its order count, and each order
 * states the expected count. A host may take over an engine whose count has not changed for longer
 * than the lease, if it is in contact with the majority of the hosts. An owner whose count changed
 * without an order of its own relinquishes the engine and observes it again; so does one that is
 * idle and has lost contact with the majority. After an order whose result does not show whether
 * the engine counted it, an owner is in doubt and sends none before it has compared the count. A
 * fencing token consists of the store's revision at the time of the takeover, as a number that
 * never decreases, the order count and the host's number, and is higher than all tokens known.
 */
public final class EngineOwnership {

  /** The maximum age of the data in an engine's report, in milliseconds. */
  public static final long MAXIMUM_REPORT_AGE_MILLIS = 400;

  /** The delay of a takeover per rank, so that nearer hosts come first, in milliseconds. */
  private static final long RANK_DELAY_MILLIS = 2_000;

  /** The exclusive bound of the host's number, the lowest part of a fencing token. */
  private static final long HOST_NUMBERS = 1_024;

  /** The exclusive bound of the order count in a fencing token, below the revision. */
  private static final long ORDER_COUNTS = 1L << 19;

  private final long leaseMillis;
  private final long hostNumber;
  private OptionalLong fencingToken = OptionalLong.empty();
  private OptionalLong acceptedOrders = OptionalLong.empty();
  private long unchangedSinceMillis;
  private long lastRequestedAtMillis;
  private long lastReadAtMillis;
  private int unconfirmedOrders;

  /** The time at which the engine may last have received an order of this host. */
  private OptionalLong orderedAtMillis = OptionalLong.empty();

  /** The time of the last order whose result does not show whether the engine counted it. */
  private OptionalLong doubtSinceMillis = OptionalLong.empty();

  /** The time since which this host is in doubt, if it is. */
  private long doubtStartedAtMillis;

  /** Whether the count was raised by an order that may as well be that of another host. */
  private boolean needsConsent;

  private long consentedAtMillis;

  /** The time of the last accepted order since the takeover, in milliseconds. */
  private OptionalLong activeAtMillis = OptionalLong.empty();

  /** The counted orders that the engine may not have counted, as their result already held. */
  private int uncertainOrders;

  private long takeovers;

  /**
   * Starts to observe an engine.
   *
   * @param leaseMillis the minimum time between the orders of two hosts, in milliseconds
   * @param hostHash a hash of this host's name that differs from that of most other hosts
   */
  public EngineOwnership(long leaseMillis, long hostHash) {
    this.leaseMillis = leaseMillis;
    this.hostNumber = Math.floorMod(hostHash, HOST_NUMBERS);
  }

  /**
   * Records the order count that the engine reported. A response may be slow: a count that has
   * changed is known since the response, and one that has not is known until the request.
   *
   * @param accepted the number of orders that the engine has accepted in this incarnation
   * @param requestedAtMillis the time at which the report was requested, in milliseconds
   * @param nowMillis the current time, in milliseconds
   */
  public void recordOrderCount(long accepted, long requestedAtMillis, long nowMillis) {
    if (isOwner()) {
      checkOrderCount(accepted, requestedAtMillis, nowMillis);
    } else if (acceptedOrders.isEmpty() || acceptedOrders.getAsLong() != accepted) {
      acceptedOrders = OptionalLong.of(accepted);
      unchangedSinceMillis = nowMillis;
    }
    lastRequestedAtMillis = requestedAtMillis;
    lastReadAtMillis = nowMillis;
  }

  /**
   * Compares a reported count with the count that this host expects. A report shortly after an
   * order may be too old for the comparison. A count that is lower belongs to another incarnation,
   * which other hosts may have ordered since.
   */
  private void checkOrderCount(long accepted, long requestedAtMillis, long nowMillis) {
    long expected = acceptedOrders.orElse(0);
    boolean comparable = isReportComparable(requestedAtMillis);
    boolean orderedElsewhere = accepted > expected + unconfirmedOrders;
    boolean restarted = comparable && accepted < expected - uncertainOrders;
    if (orderedElsewhere || restarted) {
      relinquish(nowMillis);
      acceptedOrders = OptionalLong.of(accepted);
    } else if (comparable) {
      if (accepted > expected) {
        requireConsent(nowMillis);
      }
      doubtSinceMillis = OptionalLong.empty();
      acceptedOrders = OptionalLong.of(accepted);
      unconfirmedOrders = 0;
      uncertainOrders = 0;
    }
  }

  /**
   * Records that another host read the current count at an earlier time.
   *
   * @param sinceMillis the time at which that host read the count, in milliseconds
   */
  public void recordUnchangedSince(long sinceMillis) {
    if (!isOwner()) {
      unchangedSinceMillis = Math.min(unchangedSinceMillis, sinceMillis);
    }
  }

  /**
   * Returns the time since which the order count is known to be unchanged, in milliseconds.
   *
   * @return the time of the first reading of the count, or of the last accepted order if this host
   *     owns the engine
   */
  public long unchangedSinceMillis() {
    return unchangedSinceMillis;
  }

  /**
   * Records that an order is sent or its response arrives, whatever the result.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void recordOrderUnderWay(long nowMillis) {
    orderedAtMillis = OptionalLong.of(nowMillis);
  }

  /**
   * Returns the time during which no other host may own the engine because of the orders that this
   * host has sent.
   *
   * @param nowMillis the current time, in milliseconds
   * @return the remaining time, in milliseconds; 0 if there is none
   */
  public long remainingLeaseMillis(long nowMillis) {
    return orderedAtMillis.isEmpty()
        ? 0
        : Math.max(0, orderedAtMillis.getAsLong() + leaseMillis - nowMillis);
  }

  /**
   * Records that an order got no response, so that the engine's count may have increased by one.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void recordUnconfirmedOrder(long nowMillis) {
    unconfirmedOrders++;
    recordConflict(nowMillis);
  }

  /**
   * Records that the engine refused an order because another order is under way or because its
   * count differs from the expected one.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void recordConflict(long nowMillis) {
    if (!isInDoubt()) {
      doubtStartedAtMillis = nowMillis;
    }
    doubtSinceMillis = OptionalLong.of(nowMillis);
  }

  /**
   * Returns whether this host may not send an order before it has compared the count of the engine
   * with its own or, if that was raised, has the consent of the other hosts.
   *
   * @return whether another host may have sent an order
   */
  public boolean isInDoubt() {
    return doubtSinceMillis.isPresent() || needsConsent;
  }

  /**
   * Returns whether the doubt has not ended for so long that another host has to own the engine.
   *
   * @param nowMillis the current time, in milliseconds
   * @return whether this host has been in doubt for longer than the lease
   */
  public boolean isInDoubtForLong(long nowMillis) {
    return isInDoubt() && nowMillis - doubtStartedAtMillis > leaseMillis;
  }

  /**
   * Returns whether only the other hosts can state that none of them owns the engine: its count
   * rose after an order without a response, or this host may have missed their messages.
   *
   * @return whether this host needs the consent of the other hosts for its next order
   */
  public boolean needsConsent() {
    return needsConsent;
  }

  /**
   * Records that this host may have missed what other hosts sent, so that it needs their consent.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void requireConsent(long nowMillis) {
    if (!isInDoubt()) {
      doubtStartedAtMillis = nowMillis;
    }
    needsConsent = true;
  }

  /**
   * Records that all other hosts consent to the ownership.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void recordConsent(long nowMillis) {
    needsConsent = false;
    consentedAtMillis = nowMillis;
  }

  /**
   * Returns when all other hosts last consented to the ownership, at the takeover or later.
   *
   * @return the time, in milliseconds
   */
  public long consentedAtMillis() {
    return consentedAtMillis;
  }

  /**
   * Returns whether a report that is requested now would be newer than this host's last order.
   *
   * @param nowMillis the current time, in milliseconds
   * @return whether the reported count can be compared with the expected one
   */
  public boolean isReportComparable(long nowMillis) {
    long lastOrderMillis =
        Math.max(unchangedSinceMillis, doubtSinceMillis.orElse(unchangedSinceMillis));
    return nowMillis - lastOrderMillis > MAXIMUM_REPORT_AGE_MILLIS;
  }

  /**
   * Records that another host claims the ownership of the engine.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void recordOtherOwner(long nowMillis) {
    unchangedSinceMillis = nowMillis;
    fencingToken = OptionalLong.empty();
  }

  /**
   * Returns whether the engine can be taken over if its count is still unchanged.
   *
   * @param rank the rank of this host among those that may take over the engine; 0 is the first
   * @param nowMillis the current time, in milliseconds
   * @return whether the count should be read again for a takeover
   */
  public boolean isTakeoverDue(int rank, long nowMillis) {
    return acceptedOrders.isEmpty()
        || nowMillis - unchangedSinceMillis >= requiredUnchangedMillis(rank);
  }

  /**
   * Takes over the engine if its count has been unchanged for long enough.
   *
   * @param rank the rank of this host among those that may take over the engine; 0 is the first
   * @param revision the number of the latest state of the store that this host has read; 0 if none
   * @param highestToken the highest fencing token that is known for the engine; 0 if none
   * @param nowMillis the current time, in milliseconds
   * @return whether this host owns the engine now
   */
  public boolean tryTakeOver(int rank, long revision, long highestToken, long nowMillis) {
    boolean fresh = nowMillis - lastReadAtMillis <= MAXIMUM_REPORT_AGE_MILLIS;
    if (!isOwner() && fresh && revision > 0 && isTakeoverDue(rank, lastRequestedAtMillis)) {
      fencingToken = OptionalLong.of(newFencingToken(revision, highestToken));
      takeovers++;
      activeAtMillis = OptionalLong.empty();
      unconfirmedOrders = 0;
      uncertainOrders = 0;
      doubtSinceMillis = OptionalLong.empty();
      recordConsent(nowMillis);
    }
    return isOwner();
  }

  /**
   * Combines values that never decrease: the revision across all incarnations and the order count
   * within one incarnation. A takeover at the same revision and count as the former one needs a
   * higher value.
   */
  private long newFencingToken(long revision, long highestToken) {
    long upperPart = revision * ORDER_COUNTS + Math.min(ORDER_COUNTS - 1, acceptedOrders.orElse(0));
    long token = upperPart * HOST_NUMBERS + hostNumber;
    return token > highestToken
        ? token
        : (highestToken / HOST_NUMBERS + 1) * HOST_NUMBERS + hostNumber;
  }

  /**
   * Returns whether the last report shows the orders that were sent until some time.
   *
   * @param untilMillis the time, in milliseconds
   * @return whether the report was requested by the maximum age of its data after that time
   */
  public boolean isReportedUntil(long untilMillis) {
    return lastRequestedAtMillis - untilMillis > MAXIMUM_REPORT_AGE_MILLIS;
  }

  /**
   * Returns the time until the earliest possible takeover.
   *
   * @param rank the rank of this host among those that may take over the engine; 0 is the first
   * @param nowMillis the current time, in milliseconds
   * @return the time, in milliseconds; 0 if a takeover is possible now
   */
  public long remainingTakeoverMillis(int rank, long nowMillis) {
    return Math.max(0, unchangedSinceMillis + requiredUnchangedMillis(rank) - nowMillis);
  }

  private long requiredUnchangedMillis(int rank) {
    return leaseMillis + MAXIMUM_REPORT_AGE_MILLIS + rank * RANK_DELAY_MILLIS;
  }

  /**
   * Returns whether this host may send orders to the engine.
   *
   * @return whether it owns the engine
   */
  public boolean isOwner() {
    return fencingToken.isPresent();
  }

  /**
   * Returns the fencing token of the next order.
   *
   * @return the token, or empty if this host does not own the engine
   */
  public OptionalLong fencingToken() {
    return fencingToken;
  }

  /**
   * Returns whether no other host can have taken over since the last accepted order of this host,
   * whatever happened to the network. An owner that has been idle for longer may send an order only
   * while it is in contact with the majority of the hosts, and after a new report.
   *
   * @param nowMillis the current time, in milliseconds
   * @return whether this host owns the engine and was active in the last half of the lease
   */
  public boolean isActive(long nowMillis) {
    return isOwner()
        && activeAtMillis.isPresent()
        && nowMillis - activeAtMillis.getAsLong() <= leaseMillis / 2;
  }

  /**
   * Returns whether the order count was compared with a report of the engine that is still new.
   *
   * @param nowMillis the current time, in milliseconds
   * @return whether the last report was read within the maximum age of the data in a report
   */
  public boolean isCountConfirmed(long nowMillis) {
    return nowMillis - lastReadAtMillis <= MAXIMUM_REPORT_AGE_MILLIS;
  }

  /**
   * Returns the number of the present ownership. Unlike the fencing token it differs from that of
   * each former ownership of this host.
   *
   * @return the number, or empty if this host does not own the engine
   */
  public OptionalLong ownershipNumber() {
    return isOwner() ? OptionalLong.of(takeovers) : OptionalLong.empty();
  }

  /**
   * Returns the order count that the next order states.
   *
   * @return the count of accepted orders, or empty if it is not known
   */
  public OptionalLong expectedOrderCount() {
    return acceptedOrders;
  }

  /**
   * Records that the engine accepted an order of this host.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void recordAcceptedOrder(long nowMillis) {
    acceptedOrders = OptionalLong.of(acceptedOrders.orElse(0) + 1);
    unchangedSinceMillis = nowMillis;
    activeAtMillis = OptionalLong.of(nowMillis);
  }

  /**
   * Records that the engine answered an order in a way that leaves open whether it counted it.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void recordPossiblyAcceptedOrder(long nowMillis) {
    uncertainOrders++;
    recordAcceptedOrder(nowMillis);
  }

  /**
   * Relinquishes the engine and observes it again.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void relinquish(long nowMillis) {
    fencingToken = OptionalLong.empty();
    unchangedSinceMillis = nowMillis;
  }
}
