package org.lentilhinge.permit;

import java.util.OptionalLong;

/**
 * Decides whether this host owns one incarnation of an engine, that is, may send orders to it. The
 * engine is the arbiter: each order that it accepts increments its order count, and each order
 * states the expected count. A host may take over an engine whose count has not changed for longer
 * than the lease. An owner whose count changed without an order of its own relinquishes the engine
 * and observes it again. A fencing token consists of the store's revision at the time of the
 * takeover, which never decreases, the order count and the host's number.
 */
public final class EngineHold {

  /** The maximum age of the data in an engine's report, in milliseconds. */
  private static final long REPORT_AGE_MILLIS = 400;

  /** The delay of a takeover per rank, so that nearer hosts come first, in milliseconds. */
  private static final long RANK_DELAY_MILLIS = 2_000;

  /** The exclusive bound of the host's number, the lowest part of a fencing token. */
  private static final long HOSTS = 1_024;

  /** The exclusive bound of the order count in a fencing token, below the revision. */
  private static final long ORDERS = 1L << 19;

  private final long leaseMillis;
  private final long hostNumber;
  private OptionalLong fence = OptionalLong.empty();
  private OptionalLong orders = OptionalLong.empty();
  private long stillSinceMillis;
  private long observedMillis;
  private int uncertain;

  /**
   * Starts to observe an engine.
   *
   * @param leaseMillis the minimum time between the orders of two hosts, in milliseconds
   * @param hostHash a hash of this host's name that differs from that of most other hosts
   */
  public EngineHold(long leaseMillis, long hostHash) {
    this.leaseMillis = leaseMillis;
    this.hostNumber = Math.floorMod(hostHash, HOSTS);
  }

  /**
   * Records the order count that the engine reported.
   *
   * @param accepted the number of orders that the engine has accepted
   * @param nowMillis the current time, in milliseconds
   */
  public void observed(long accepted, long nowMillis) {
    if (isHolding()) {
      observedHeld(accepted, nowMillis);
    } else if (orders.isEmpty() || orders.getAsLong() != accepted) {
      orders = OptionalLong.of(accepted);
      stillSinceMillis = nowMillis;
    }
    observedMillis = nowMillis;
  }

  /**
   * Compares a reported count with the count that this host expects. A report shortly after an
   * order may be too old for the comparison.
   */
  private void observedHeld(long accepted, long nowMillis) {
    long expected = orders.orElse(0);
    if (accepted > expected + uncertain) {
      stepBack(nowMillis);
      orders = OptionalLong.of(accepted);
    } else if (nowMillis - stillSinceMillis > REPORT_AGE_MILLIS) {
      orders = OptionalLong.of(accepted);
      uncertain = 0;
    }
  }

  /**
   * Records an earlier time at which another host already read the count that was read last.
   *
   * @param sinceMillis the time of that reading, in milliseconds
   */
  public void stillSince(long sinceMillis) {
    if (!isHolding()) {
      stillSinceMillis = Math.min(stillSinceMillis, sinceMillis);
    }
  }

  /**
   * Returns the time since which the order count is known to be unchanged.
   *
   * @return the time of the first reading of the count, or of the last accepted order if this host
   *     owns the engine
   */
  public long stillSinceMillis() {
    return stillSinceMillis;
  }

  /** Records that an order got no answer, so that the engine's count may have increased by one. */
  public void unanswered() {
    uncertain++;
  }

  /**
   * Returns whether a report that is read now would be newer than this host's last order.
   *
   * @param nowMillis the current time, in milliseconds
   * @return whether the reported count can be compared with the expected one
   */
  public boolean isSettled(long nowMillis) {
    return nowMillis - stillSinceMillis > REPORT_AGE_MILLIS;
  }

  /**
   * Records that another host claims the ownership of the engine.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void heldElsewhere(long nowMillis) {
    stillSinceMillis = nowMillis;
    fence = OptionalLong.empty();
  }

  /**
   * Returns whether the engine can be taken over if its count is still unchanged.
   *
   * @param rank the rank of this host among those that may take over the engine; 0 is the first
   * @param nowMillis the current time, in milliseconds
   * @return whether a new reading of the count is worth its cost
   */
  public boolean isDue(int rank, long nowMillis) {
    return orders.isEmpty() || nowMillis - stillSinceMillis >= stillnessMillis(rank);
  }

  /**
   * Takes over the engine if its count has been unchanged for long enough.
   *
   * @param rank the rank of this host among those that may take over the engine; 0 is the first
   * @param revision the latest revision of the store that this host has read; 0 if none
   * @param nowMillis the current time, in milliseconds
   * @return whether this host owns the engine now
   */
  public boolean take(int rank, long revision, long nowMillis) {
    boolean fresh = nowMillis - observedMillis <= REPORT_AGE_MILLIS;
    if (!isHolding() && fresh && revision > 0 && isDue(rank, nowMillis)) {
      fence = OptionalLong.of(newFence(revision));
      uncertain = 0;
    }
    return isHolding();
  }

  /**
   * Combines values that never decrease: the revision across all incarnations and the order count
   * within one incarnation.
   */
  private long newFence(long revision) {
    return (revision * ORDERS + Math.min(ORDERS - 1, orders.orElse(0))) * HOSTS + hostNumber;
  }

  /**
   * Returns the time until the earliest possible takeover.
   *
   * @param rank the rank of this host among those that may take over the engine; 0 is the first
   * @param nowMillis the current time, in milliseconds
   * @return the time, in milliseconds; 0 if a takeover is possible now
   */
  public long dueInMillis(int rank, long nowMillis) {
    return Math.max(0, stillSinceMillis + stillnessMillis(rank) - nowMillis);
  }

  private long stillnessMillis(int rank) {
    return leaseMillis + REPORT_AGE_MILLIS + rank * RANK_DELAY_MILLIS;
  }

  /**
   * Returns whether this host may send orders to the engine.
   *
   * @return whether it owns the engine
   */
  public boolean isHolding() {
    return fence.isPresent();
  }

  /**
   * Returns the fencing token of the next order.
   *
   * @return the token, or empty if this host does not own the engine
   */
  public OptionalLong fence() {
    return fence;
  }

  /**
   * Returns the order count that the next order states.
   *
   * @return the count of accepted orders, or empty if it is not known
   */
  public OptionalLong expectedOrders() {
    return orders;
  }

  /**
   * Records that the engine accepted an order of this host.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void accepted(long nowMillis) {
    orders = OptionalLong.of(orders.orElse(0) + 1);
    stillSinceMillis = nowMillis;
  }

  /**
   * Relinquishes the engine and observes it again.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void stepBack(long nowMillis) {
    fence = OptionalLong.empty();
    stillSinceMillis = nowMillis;
  }
}
