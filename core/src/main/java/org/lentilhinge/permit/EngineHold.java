package org.lentilhinge.permit;

import java.util.OptionalLong;

/**
 * Decides whether this host may order one life of an engine. The engine is the arbiter: each order
 * it accepts raises its count of orders, and each order names the count that it expects. A host may
 * take an engine whose count stood still for longer than the lease; a holder whose count moved
 * without it goes back to watching. Fencing numbers come from the store's revision at the time of
 * taking, which never falls, and from the count.
 */
public final class EngineHold {

  /** Covers the age of what an engine reports of itself, in milliseconds. */
  private static final long REPORT_AGE_MILLIS = 400;

  /** Lets a host that is nearer to the engine take it first, in milliseconds for each rank. */
  private static final long RANK_DELAY_MILLIS = 2_000;

  /** Bounds the host's number, the lowest part of a fencing number. */
  private static final long HOSTS = 1_024;

  /** Bounds the count of orders in a fencing number, whose highest part is the revision. */
  private static final long ORDERS = 1L << 19;

  private final long leaseMillis;
  private final long hostNumber;
  private OptionalLong fence = OptionalLong.empty();
  private OptionalLong orders = OptionalLong.empty();
  private long stillSinceMillis;
  private long observedMillis;
  private int uncertain;

  /**
   * Begins to watch an engine.
   *
   * @param leaseMillis the shortest time between the orders of two hosts, in milliseconds
   * @param hostHash a number of this host that differs from that of most others
   */
  public EngineHold(long leaseMillis, long hostHash) {
    this.leaseMillis = leaseMillis;
    this.hostNumber = Math.floorMod(hostHash, HOSTS);
  }

  /**
   * Takes the engine's own count of the orders that it accepted.
   *
   * @param accepted the count
   * @param nowMillis the time
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

  /** Compares a count with this host's own; a count just after an order may be too old to tell. */
  private void observedHeld(long accepted, long nowMillis) {
    long own = orders.orElse(0);
    if (accepted > own + uncertain) {
      stepBack(nowMillis);
      orders = OptionalLong.of(accepted);
    } else if (nowMillis - stillSinceMillis > REPORT_AGE_MILLIS) {
      orders = OptionalLong.of(accepted);
      uncertain = 0;
    }
  }

  /**
   * Takes an earlier time at which the count that was read last stood already, as another host saw.
   *
   * @param sinceMillis the time
   */
  public void stillSince(long sinceMillis) {
    if (!isHolding()) {
      stillSinceMillis = Math.min(stillSinceMillis, sinceMillis);
    }
  }

  /**
   * Gets the time since which the count of orders is known to stand.
   *
   * @return the time of the first reading, or of the last order if this host holds the engine
   */
  public long stillSinceMillis() {
    return stillSinceMillis;
  }

  /** Notes that an order went out whose fate is unknown: the count may have risen by one. */
  public void unanswered() {
    uncertain++;
  }

  /**
   * Tells whether a reading of the count would be newer than this host's last order.
   *
   * @param nowMillis the time
   * @return whether the engine's report can be compared with the own count
   */
  public boolean isSettled(long nowMillis) {
    return nowMillis - stillSinceMillis > REPORT_AGE_MILLIS;
  }

  /**
   * Notes that another host said that it holds the engine.
   *
   * @param nowMillis the time
   */
  public void heldElsewhere(long nowMillis) {
    stillSinceMillis = nowMillis;
    fence = OptionalLong.empty();
  }

  /**
   * Tells whether the engine would be free to take if its count has not moved since.
   *
   * @param rank the place of this host among those that may take it; 0 is the first
   * @param nowMillis the time
   * @return whether a fresh reading of the count is worth its price
   */
  public boolean isDue(int rank, long nowMillis) {
    return orders.isEmpty() || nowMillis - stillSinceMillis >= stillnessMillis(rank);
  }

  /**
   * Takes the engine if its count has stood still for long enough.
   *
   * @param rank the place of this host among those that may take it; 0 is the first
   * @param revision the newest revision of the store that this host has read; 0 if none
   * @param nowMillis the time
   * @return whether this host holds the engine now
   */
  public boolean take(int rank, long revision, long nowMillis) {
    boolean fresh = nowMillis - observedMillis <= REPORT_AGE_MILLIS;
    if (!isHolding() && fresh && revision > 0 && isDue(rank, nowMillis)) {
      fence = OptionalLong.of(newFence(revision));
      uncertain = 0;
    }
    return isHolding();
  }

  /** Joins what only rises: the revision over all lives, the count of orders within one life. */
  private long newFence(long revision) {
    return (revision * ORDERS + Math.min(ORDERS - 1, orders.orElse(0))) * HOSTS + hostNumber;
  }

  /**
   * Tells when the engine can be taken at the earliest.
   *
   * @param rank the place of this host among those that may take it; 0 is the first
   * @param nowMillis the time
   * @return the time until then, in milliseconds
   */
  public long dueInMillis(int rank, long nowMillis) {
    return Math.max(0, stillSinceMillis + stillnessMillis(rank) - nowMillis);
  }

  private long stillnessMillis(int rank) {
    return leaseMillis + REPORT_AGE_MILLIS + rank * RANK_DELAY_MILLIS;
  }

  /**
   * Tells whether this host may order the engine.
   *
   * @return whether it holds the engine
   */
  public boolean isHolding() {
    return fence.isPresent();
  }

  /**
   * Gets the fencing number of the next order.
   *
   * @return the number, or empty if this host does not hold the engine
   */
  public OptionalLong fence() {
    return fence;
  }

  /**
   * Gets the count that the next order expects.
   *
   * @return the count of accepted orders, or empty if it is not known
   */
  public OptionalLong expectedOrders() {
    return orders;
  }

  /**
   * Notes that the engine accepted an order of this host.
   *
   * @param nowMillis the time
   */
  public void accepted(long nowMillis) {
    orders = OptionalLong.of(orders.orElse(0) + 1);
    stillSinceMillis = nowMillis;
  }

  /**
   * Goes back to watching.
   *
   * @param nowMillis the time
   */
  public void stepBack(long nowMillis) {
    fence = OptionalLong.empty();
    stillSinceMillis = nowMillis;
  }
}
