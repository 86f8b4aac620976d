package org.lentilhinge.permit;

/** Has refused callers of each priority return one after the other. */
final class ReturnTimes {

  /** The part of the remaining time up to which a caller is told to wait. */
  private static final int REMAINING_TIME_PARTS = 3;

  /** The shortest time that a refused caller is told, in milliseconds. */
  private static final long MINIMUM_MILLIS = 100;

  private final long[] lastAtMillis = new long[QueueEntry.PRIORITY_CLASSES];

  /**
   * Returns when a refused caller should return. It is later than the times told to the callers of
   * equal or more urgent requests, which are served before it.
   *
   * @param entry the refused request
   * @param waitMillis the time after which the engine may have capacity, in milliseconds
   * @param intervalMillis the time between two permits, in milliseconds
   * @param nowMillis the current time, in milliseconds
   * @return the time until its return, in milliseconds
   */
  long next(QueueEntry entry, long waitMillis, double intervalMillis, long nowMillis) {
    long remainingMillis = entry.request().remainingMillis() - entry.waitedMillis(nowMillis);
    long latestAtMillis = nowMillis + Math.max(0, remainingMillis) / REMAINING_TIME_PARTS;
    long atMillis = nowMillis + Math.max(MINIMUM_MILLIS, waitMillis);
    long stepMillis = Math.max(1, Math.round(intervalMillis));
    int priorityClass = entry.priorityClass();
    for (int index = 0; index <= priorityClass; index++) {
      if (lastAtMillis[index] > nowMillis) {
        atMillis = Math.max(atMillis, lastAtMillis[index] + stepMillis);
      }
    }
    atMillis = Math.min(atMillis, latestAtMillis);
    lastAtMillis[priorityClass] = Math.max(lastAtMillis[priorityClass], atMillis);
    return atMillis - nowMillis;
  }
}
