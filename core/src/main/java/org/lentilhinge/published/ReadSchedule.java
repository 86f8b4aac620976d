package org.lentilhinge.published;

import java.util.Random;

/**
 * Decides when this host reads one kind of published data itself: always if it is the reader of its
 * zone, else only if it has received no news for some time or needs a read for another reason.
 * Failed reads are repeated with exponential backoff.
 */
public final class ReadSchedule {

  /**
   * The time without news after which a host reads for itself, in milliseconds. A reader passes on
   * news every second; endpoints that leave must receive no work three seconds later.
   */
  private static final long SILENCE_MILLIS = 1_500;

  /**
   * The first backoff after a failure, in milliseconds. The backoff limits the load on a failing
   * store, and stays short enough for changes to arrive in time.
   */
  private static final long MINIMUM_BACKOFF_MILLIS = 100;

  /** The longest backoff after repeated failures, in milliseconds. */
  private static final long MAXIMUM_BACKOFF_MILLIS = 800;

  private static final int MAXIMUM_DOUBLINGS = 4;

  private final long intervalMillis;
  private final Random random;
  private boolean inProgress;
  private boolean wanted = true;
  private long nextReadAtMillis = Long.MIN_VALUE;
  private long newsAtMillis;
  private int failures;

  /**
   * Creates a schedule whose first read is due at once.
   *
   * @param intervalMillis the interval between successful reads, in milliseconds
   * @param random spreads the reads of many hosts
   */
  public ReadSchedule(long intervalMillis, Random random) {
    this.intervalMillis = intervalMillis;
    this.random = random;
  }

  /**
   * Returns whether a read is to be started.
   *
   * @param reader whether this host reads for its zone
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether the read is due and none is in progress
   */
  public boolean isDue(boolean reader, long nowMillis) {
    boolean needed = reader || wanted || nowMillis - newsAtMillis > SILENCE_MILLIS;
    return needed && !inProgress && nowMillis >= nextReadAtMillis;
  }

  /** Requests one read, subject to the interval and the backoff. */
  public void request() {
    wanted = true;
  }

  /** Records that a read was started. */
  public void recordStart() {
    inProgress = true;
  }

  /**
   * Records that a read succeeded.
   *
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void recordSuccess(long nowMillis) {
    inProgress = false;
    wanted = false;
    failures = 0;
    newsAtMillis = nowMillis;
    nextReadAtMillis = nowMillis + jittered(intervalMillis);
  }

  /**
   * Records that a read failed.
   *
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void recordFailure(long nowMillis) {
    inProgress = false;
    long doubled = MINIMUM_BACKOFF_MILLIS << Math.min(failures, MAXIMUM_DOUBLINGS);
    nextReadAtMillis = nowMillis + jittered(Math.min(MAXIMUM_BACKOFF_MILLIS, doubled));
    failures++;
  }

  /**
   * Records that news of another host were applied.
   *
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void recordNews(long nowMillis) {
    newsAtMillis = nowMillis;
  }

  /** Shortens a time by a random amount of up to a tenth, to spread the reads of many hosts. */
  private long jittered(long millis) {
    return Math.round(millis * (0.9 + 0.1 * random.nextDouble()));
  }
}
