package org.lentilhinge.store;

/**
 * A token bucket whose tokens each permit the start of one load. Tokens accrue at a steady rate up
 * to a limit, which tokens received from other hosts may exceed.
 */
final class StartTokenBucket {

  private static final double MILLIS_PER_SECOND = 1000.0;

  private final double limit;
  private double tokensPerSecond;
  private double tokens;
  private long accruedAtMillis;

  StartTokenBucket(double tokensPerSecond, double limit, long nowMillis) {
    this.tokensPerSecond = tokensPerSecond;
    this.limit = limit;
    this.accruedAtMillis = nowMillis;
  }

  double tokensAt(long nowMillis) {
    if (nowMillis > accruedAtMillis) {
      double accrued = (nowMillis - accruedAtMillis) * tokensPerSecond / MILLIS_PER_SECOND;
      tokens = Math.max(tokens, Math.min(limit, tokens + accrued));
      accruedAtMillis = nowMillis;
    }
    return tokens;
  }

  void add(double addedTokens, long nowMillis) {
    tokens = tokensAt(nowMillis) + addedTokens;
  }

  void setRate(double newTokensPerSecond, long nowMillis) {
    tokensAt(nowMillis);
    tokensPerSecond = newTokensPerSecond;
  }

  double tokensPerSecond() {
    return tokensPerSecond;
  }
}
