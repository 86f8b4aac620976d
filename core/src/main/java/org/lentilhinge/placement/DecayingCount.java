package org.lentilhinge.placement;

/** Counts events with exponential decay. */
final class DecayingCount {

  private double count;
  private long updatedAtMillis;

  DecayingCount(long nowMillis) {
    this.updatedAtMillis = nowMillis;
  }

  void add(double events, long nowMillis, double decayMillis) {
    count = valueAt(nowMillis, decayMillis) + events;
    updatedAtMillis = nowMillis;
  }

  double valueAt(long nowMillis, double decayMillis) {
    return count * Math.exp((updatedAtMillis - nowMillis) / decayMillis);
  }
}
