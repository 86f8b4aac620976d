package org.lentilhinge.allowance;

/** Sums the units of the last seconds, in buckets of 200 ms. */
final class UseMeter {

  /** The longest time over which units are summed, in milliseconds. */
  static final long MAXIMUM_MILLIS = 4_000;

  private static final long BUCKET_MILLIS = 200;
  private static final int BUCKETS = (int) (MAXIMUM_MILLIS / BUCKET_MILLIS) + 1;

  private final double[] units = new double[BUCKETS];
  private long currentBucket = Long.MIN_VALUE;

  void add(double added, long nowMillis) {
    advance(nowMillis);
    units[index(currentBucket)] += added;
  }

  /** Returns the units of a time up to now, which is rounded up by less than a bucket. */
  double sum(long millis, long nowMillis) {
    advance(nowMillis);
    double sum = 0;
    for (long age = 0; age <= millis / BUCKET_MILLIS; age++) {
      sum += units[index(currentBucket - age)];
    }
    return Math.max(0, sum);
  }

  private void advance(long nowMillis) {
    long bucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
    if (currentBucket < bucket - BUCKETS) {
      currentBucket = bucket - BUCKETS;
    }
    while (currentBucket < bucket) {
      currentBucket++;
      units[index(currentBucket)] = 0;
    }
  }

  private static int index(long bucket) {
    return (int) Math.floorMod(bucket, (long) BUCKETS);
  }
}
