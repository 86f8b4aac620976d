package org.lentilhinge.published;

import java.util.OptionalLong;
import java.util.Random;

/**
 * Decides when this host reads one kind of published data itself: always if it is the reader of its
 * zone, else only if it has received no news for some time or needs a read for another reason. The
 * hosts of a zone do so one after the other by their rank, because reads of all of them would delay
 * each other. Failed reads are repeated with exponential backoff.
 */
public final class ReadSchedule {

  /**
   * The time without news after which a host reads for itself, in milliseconds. A reader passes on
   * news every second; endpoints that leave must receive no work three seconds later.
   */
  private static final long SILENCE_MILLIS = 1_500;

  /**
   * The further time without news for each rank, in milliseconds. The host before has read the
   * store and sent news by then, unless it has failed, too.
   */
  private static final long SILENCE_PER_RANK_MILLIS = 500;

  /** The maximum of that time, in milliseconds. */
  private static final long MAXIMUM_FURTHER_SILENCE_MILLIS = 2_500;

  /** The delay of a read after a gap in the news for each rank, in milliseconds. */
  private static final long GAP_PER_RANK_MILLIS = 100;

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
  private OptionalLong gapSinceMillis = OptionalLong.empty();
  private long nextReadAtMillis = Long.MIN_VALUE;
  private OptionalLong newsAtMillis = OptionalLong.empty();
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
   * @param rank the number of hosts of the zone that read before this host; 0 for its reader
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether the read is due and none is in progress
   */
  public boolean isDue(int rank, long nowMillis) {
    boolean needed = rank == 0 || wanted || hasGap(rank, nowMillis) || isSilent(rank, nowMillis);
    return needed && !inProgress && nowMillis >= nextReadAtMillis;
  }

  private boolean hasGap(int rank, long nowMillis) {
    return gapSinceMillis.isPresent()
        && nowMillis - gapSinceMillis.getAsLong() >= (rank - 1) * GAP_PER_RANK_MILLIS;
  }

  /**
   * Returns whether this host has received no news for so long that it reads for its zone.
   *
   * @param rank the number of hosts of the zone that read before this host
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether the reader and all hosts before this one seem to have failed; not before the
   *     first read or news, which other hosts need not share
   */
  public boolean isSilent(int rank, long nowMillis) {
    long furtherMillis =
        Math.min(MAXIMUM_FURTHER_SILENCE_MILLIS, (rank - 1) * SILENCE_PER_RANK_MILLIS);
    return newsAtMillis.isPresent()
        && nowMillis - newsAtMillis.getAsLong() > SILENCE_MILLIS + furtherMillis;
  }

  /** Requests one read of this host's own, subject to the interval and the backoff. */
  public void request() {
    wanted = true;
  }

  /**
   * Requests one read because news do not fit what this host knows. Later news may make it
   * unnecessary.
   *
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void requestAfterGap(long nowMillis) {
    if (gapSinceMillis.isEmpty()) {
      gapSinceMillis = OptionalLong.of(nowMillis);
    }
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
    gapSinceMillis = OptionalLong.empty();
    failures = 0;
    newsAtMillis = OptionalLong.of(nowMillis);
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
   * Records that news of another host were applied, after which this host knows all that it knows.
   *
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void recordNews(long nowMillis) {
    newsAtMillis = OptionalLong.of(nowMillis);
    gapSinceMillis = OptionalLong.empty();
  }

  /** Shortens a time by a random amount of up to a tenth, to spread the reads of many hosts. */
  private long jittered(long millis) {
    return Math.round(millis * (0.9 + 0.1 * random.nextDouble()));
  }
}
