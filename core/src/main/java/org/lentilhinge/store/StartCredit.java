package org.lentilhinge.store;

/**
 * A token bucket whose tokens each permit the start of one load. Tokens accrue at a steady rate up
 * to a limit, which tokens received from other hosts may exceed.
 */
final class StartCredit {

  private static final double MILLIS_PER_SECOND = 1000.0;

  private final double limit;
  private double perSecond;
  private double credit;
  private long accruedMillis;

  StartCredit(double tokensPerSecond, double limit, long nowMillis) {
    this.perSecond = tokensPerSecond;
    this.limit = limit;
    this.accruedMillis = nowMillis;
  }

  double at(long nowMillis) {
    if (nowMillis > accruedMillis) {
      double accrued = (nowMillis - accruedMillis) * perSecond / MILLIS_PER_SECOND;
      credit = Math.max(credit, Math.min(limit, credit + accrued));
      accruedMillis = nowMillis;
    }
    return credit;
  }

  void change(double addedTokens, long nowMillis) {
    credit = at(nowMillis) + addedTokens;
  }

  void changeRate(double newTokensPerSecond, long nowMillis) {
    at(nowMillis);
    perSecond = newTokensPerSecond;
  }

  double perSecond() {
    return perSecond;
  }
}
