package org.lentilhinge.placement;

/** Counts events with exponential decay. */
final class DecayingCount {

  private double count;
  private long updatedMillis;

  DecayingCount(long nowMillis) {
    this.updatedMillis = nowMillis;
  }

  void add(double events, long nowMillis, double decayMillis) {
    count = valueAt(nowMillis, decayMillis) + events;
    updatedMillis = nowMillis;
  }

  double valueAt(long nowMillis, double decayMillis) {
    return count * Math.exp((updatedMillis - nowMillis) / decayMillis);
  }
}
