package org.lentilhinge.allowance;

import org.lentilhinge.customer.Allowance;

/**
 * The debt of one customer: the units that it has used over all hosts and not yet regained. The
 * debt decreases at the customer's rate.
 */
final class CustomerAccount {

  /** The tolerance for rounding in sums of units. */
  private static final double EPSILON = 1e-6;

  /**
   * The longest time between two refused callers' times to return, in milliseconds. Some of them do
   * not return, and a longer one would leave the quota unused.
   */
  private static final double MAXIMUM_SPACING_MILLIS = 1_000;

  private final AllowanceBounds bounds;
  private final UseMeter ownUse = new UseMeter();
  private final UseMeter totalUse = new UseMeter();
  private final UseMeter ownDemand = new UseMeter();
  private final UseMeter totalDemand = new UseMeter();
  private final UseMeter totalRefused = new UseMeter();
  private Allowance allowance;
  private double debt;
  private long debtAtMillis;

  /** The debt of this host alone, which decreases at its part of the rate. */
  private double ownDebt;

  private long ownDebtAtMillis;
  private long admitted;
  private long refunded;
  private long requested;
  private long nextReturnMillis = Long.MIN_VALUE;

  CustomerAccount(AllowanceBounds bounds, Allowance allowance, double debt, long nowMillis) {
    this.bounds = bounds;
    this.allowance = allowance;
    this.debt = debt;
    this.debtAtMillis = nowMillis;
    this.ownDebtAtMillis = nowMillis;
  }

  Allowance allowance() {
    return allowance;
  }

  /** Returns whether any request has arrived at this host. */
  boolean isUsed() {
    return admitted > 0 || requested > 0;
  }

  /** Returns whether the counters of this host differ from those reported last, if any. */
  boolean hasChangedSince(AllowanceUse reported) {
    return reported == null
        ? isUsed()
        : admitted != reported.admitted()
            || refunded != reported.refunded()
            || requested != reported.requested();
  }

  /** Changes the quota. The debt remains, so that a lowered quota applies at once. */
  void setAllowance(Allowance next, double share, long nowMillis) {
    settle(share, nowMillis);
    if (next.isUnlimited()) {
      debt = 0;
    }
    allowance = next;
  }

  /**
   * Changes the share of the quota that this host uses, and the debt in proportion to it. What is
   * owed beyond the burst was used in this part of the network only, so that it does not grow when
   * other parts are heard again.
   */
  void setShare(double former, double next, long nowMillis) {
    settle(former, nowMillis);
    double inProportion = next < former ? debt : Math.min(debt, allowance.burst() * former);
    debt += inProportion * (next / former - 1);
  }

  private void settle(double share, long nowMillis) {
    debt = Math.max(0, debt - perMillisecond(share) * Math.max(0, nowMillis - debtAtMillis));
    debtAtMillis = Math.max(debtAtMillis, nowMillis);
  }

  private double perMillisecond(double share) {
    return allowance.perSecond() * share / 1_000;
  }

  /** Admits a request if the quota has room for it. */
  AllowanceDecision admit(long units, double share, int hosts, long nowMillis) {
    settle(share, nowMillis);
    // A request beyond the burst would distort the parts of the hosts in the demand.
    long demand = Math.min(units, (long) Math.ceil(allowance.burst()));
    requested += demand;
    ownDemand.add(demand, nowMillis);
    totalDemand.add(demand, nowMillis);
    double ownRate = perMillisecond(share) * pace(hosts, share, nowMillis);
    settleOwn(units, ownRate, nowMillis);
    boolean paced = isOver(share, nowMillis) && ownDebt + units > ownBurst(units, ownRate);
    if (allowance.isUnlimited() || !paced && hasRoom(units, share)) {
      ownDebt += units;
      admitted += units;
      ownUse.add(units, nowMillis);
      recordUse(units, nowMillis);
      return new AllowanceDecision(true, 0, debt, share);
    }
    totalRefused.add(demand, nowMillis);
    double ownWait = paced ? (ownDebt + units - ownBurst(units, ownRate)) / ownRate : 0;
    long wait = returnMillis(units, ownWait, ownRate, share, nowMillis);
    return new AllowanceDecision(false, wait, debt, share);
  }

  /**
   * Returns whether the customer requests more than its quota. Each host then admits its part of
   * the rate at an even pace. Otherwise all hosts would admit and refuse requests at the same
   * times, and the parts of a network that is being partitioned would admit all requests until they
   * notice. A customer is over its quota if requests were refused, those of the last seconds exceed
   * the rate, and half of the burst is used.
   */
  private boolean isOver(double share, long nowMillis) {
    return debt > allowance.burst() * share / 2
        && totalRefused.sum(UseMeter.MAXIMUM_MILLIS, nowMillis) > 0
        && totalDemand.sum(UseMeter.MAXIMUM_MILLIS, nowMillis)
            > perMillisecond(share) * UseMeter.MAXIMUM_MILLIS;
  }

  /** Returns this host's part of the rate: its part of the demand, and more if burst is unused. */
  private double pace(int hosts, double share, long nowMillis) {
    double total = totalDemand.sum(UseMeter.MAXIMUM_MILLIS, nowMillis);
    double own = ownDemand.sum(UseMeter.MAXIMUM_MILLIS, nowMillis);
    double part = total == 0 ? 1 : Math.max(1.0 / hosts, Math.min(1, own / total));
    double burst = allowance.burst() * share;
    double unused = burst == 0 ? 0 : Math.max(0, 1 - debt / burst);
    return part * (1 + unused);
  }

  private void settleOwn(long units, double ownRate, long nowMillis) {
    double regained = ownRate * Math.max(0, nowMillis - ownDebtAtMillis);
    ownDebt = Math.max(0, Math.min(ownDebt, ownBurst(units, ownRate)) - regained);
    ownDebtAtMillis = Math.max(ownDebtAtMillis, nowMillis);
  }

  /** Returns what a host may admit at once: two requests, so that chance does not leave it idle. */
  private static double ownBurst(long units, double ownRate) {
    return Math.max(2 * units, ownRate * 1_000);
  }

  /**
   * A request that is larger than the burst is admitted if nothing is owed, unless it alone would
   * exceed this host's share of what a customer may use in a window.
   */
  private boolean hasRoom(long units, double share) {
    double inWindow = allowance.perSecond() * bounds.windowMillis() / 1_000 + allowance.burst();
    double maximum = (inWindow * (1 + bounds.over()) + bounds.slack()) * share;
    return debt + units <= allowance.burst() * share + EPSILON || debt == 0 && units <= maximum;
  }

  /**
   * Returns after which time a refused caller is to return. Callers that are refused one after the
   * other return one after the other, at this host's part of the rate.
   */
  private long returnMillis(
      long units, double ownWait, double ownRate, double share, long nowMillis) {
    double burst = allowance.burst() * share;
    double rate = perMillisecond(share);
    double missing = Math.max(0, units <= burst ? debt + units - burst : debt);
    // A request that is too large even if nothing is owed is told the longest time.
    double due = debt == 0 ? bounds.windowMillis() : Math.max(ownWait, missing / rate);
    double earliest = Math.max(1, Math.min(due, bounds.windowMillis()));
    double spacing = Math.max(1, Math.min(units / ownRate, MAXIMUM_SPACING_MILLIS));
    double wait = Math.max(earliest, nextReturnMillis - nowMillis);
    if (wait > earliest + bounds.windowMillis()) {
      // So many callers have been refused that the next ones share the times of the first ones.
      wait = earliest;
    }
    nextReturnMillis = nowMillis + (long) Math.ceil(wait + spacing);
    return (long) Math.ceil(wait);
  }

  void refund(long units, double share, long nowMillis) {
    settle(share, nowMillis);
    refunded += units;
    ownDebt = Math.max(0, ownDebt - units);
    ownUse.add(-units, nowMillis);
    recordUse(-units, nowMillis);
  }

  /** Records the use at another host, which is negative if more was refunded than admitted. */
  void recordOther(HostUse.Increase increase, double share, long nowMillis) {
    settle(share, nowMillis);
    recordUse(increase.units(), nowMillis);
    totalDemand.add(increase.requested(), nowMillis);
    totalRefused.add(increase.refused(), nowMillis);
  }

  private void recordUse(double units, long nowMillis) {
    totalUse.add(units, nowMillis);
    if (!allowance.isUnlimited()) {
      debt = Math.max(0, debt + units);
    }
  }

  AllowanceUse use(String customer, long nowMillis) {
    long lastSecond = Math.round(ownUse.sum(1_000, nowMillis));
    return new AllowanceUse(customer, admitted, refunded, requested, lastSecond);
  }

  /** Returns the use over all hosts in the last four seconds. */
  double recentUse(long nowMillis) {
    return totalUse.sum(UseMeter.MAXIMUM_MILLIS - 1, nowMillis);
  }
}
