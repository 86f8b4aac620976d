package org.lentilhinge.quarantine;

/** Counts this host's requests that survived within a sliding window, in one bucket per second. */
final class SurvivalRate {

  static final long WINDOW_MILLIS = 10_000;

  private static final int BUCKETS = 10;
  private static final long BUCKET_MILLIS = WINDOW_MILLIS / BUCKETS;

  private final long[] buckets = new long[BUCKETS];
  private final int[] counts = new int[BUCKETS];

  void record(long nowMillis) {
    long bucket = nowMillis / BUCKET_MILLIS;
    int index = (int) Math.floorMod(bucket, (long) BUCKETS);
    if (buckets[index] != bucket) {
      buckets[index] = bucket;
      counts[index] = 0;
    }
    counts[index]++;
  }

  int count(long nowMillis) {
    long newest = nowMillis / BUCKET_MILLIS;
    int sum = 0;
    for (int index = 0; index < BUCKETS; index++) {
      if (newest - buckets[index] < BUCKETS) {
        sum += counts[index];
      }
    }
    return sum;
  }
}
