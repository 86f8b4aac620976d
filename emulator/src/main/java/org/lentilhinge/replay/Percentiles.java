package org.lentilhinge.replay;

import java.util.List;

/** Computes percentiles of durations. */
final class Percentiles {

  private final long[] sorted;

  Percentiles(List<Long> millis) {
    this.sorted = millis.stream().mapToLong(Long::longValue).sorted().toArray();
  }

  int count() {
    return sorted.length;
  }

  /** Returns the percentile for a fraction from 0 to 1, in milliseconds; 0 without durations. */
  long percentile(double fraction) {
    if (sorted.length == 0) {
      return 0;
    }
    int position = (int) Math.ceil(fraction * sorted.length) - 1;
    return sorted[Math.max(0, position)];
  }
}
