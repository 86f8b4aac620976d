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
  private Allowance allowance;
  private double debt;
  private long debtAtMillis;
  private long admitted;
  private long refunded;
  private long nextReturnMillis = Long.MIN_VALUE;

  CustomerAccount(AllowanceBounds bounds, Allowance allowance, double debt, long nowMillis) {
    this.bounds = bounds;
    this.allowance = allowance;
    this.debt = debt;
    this.debtAtMillis = nowMillis;
  }

  Allowance allowance() {
    return allowance;
  }

  long admitted() {
    return admitted;
  }

  long refunded() {
    return refunded;
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
    if (allowance.isUnlimited() || hasRoom(units, share)) {
      admitted += units;
      ownUse.add(units, nowMillis);
      recordUse(units, nowMillis);
      return new AllowanceDecision(true, 0, debt, share);
    }
    return new AllowanceDecision(false, returnMillis(units, share, hosts, nowMillis), debt, share);
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
   * other return one after the other, at the rate of this host's part in the customer's use.
   */
  private long returnMillis(long units, double share, int hosts, long nowMillis) {
    double burst = allowance.burst() * share;
    double rate = perMillisecond(share);
    double missing = units <= burst ? debt + units - burst : debt;
    // A request that is too large even if nothing is owed is told the longest time.
    double due = debt == 0 ? bounds.windowMillis() : missing / rate;
    double earliest = Math.max(1, Math.min(due, bounds.windowMillis()));
    double total = totalUse.sum(UseMeter.MAXIMUM_MILLIS, nowMillis);
    double own = ownUse.sum(UseMeter.MAXIMUM_MILLIS, nowMillis);
    double part = total == 0 ? 1 : Math.max(1.0 / hosts, Math.min(1, own / total));
    double spacing = Math.max(1, Math.min(units / (rate * part), MAXIMUM_SPACING_MILLIS));
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
    ownUse.add(-units, nowMillis);
    recordUse(-units, nowMillis);
  }

  /** Records the use at another host, which is negative if more was refunded than admitted. */
  void recordOther(double units, double share, long nowMillis) {
    settle(share, nowMillis);
    recordUse(units, nowMillis);
  }

  private void recordUse(double units, long nowMillis) {
    totalUse.add(units, nowMillis);
    if (!allowance.isUnlimited()) {
      debt = Math.max(0, debt + units);
    }
  }

  AllowanceUse use(String customer, long nowMillis) {
    long lastSecond = Math.round(ownUse.sum(1_000, nowMillis));
    return new AllowanceUse(customer, admitted, refunded, lastSecond);
  }

  /** Returns the use over all hosts in the last four seconds. */
  double recentUse(long nowMillis) {
    return totalUse.sum(UseMeter.MAXIMUM_MILLIS - 1, nowMillis);
  }
}
