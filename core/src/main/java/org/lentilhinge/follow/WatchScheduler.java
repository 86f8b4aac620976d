package org.lentilhinge.follow;

import java.util.Optional;
import java.util.random.RandomGenerator;

/** Schedules the watches of the published key, at most one at a time. */
final class WatchScheduler {

  private static final long MINIMUM_WAIT_MILLIS = 45_000;
  private static final long WAIT_JITTER_MILLIS = 15_000;
  private static final long ANSWER_GRACE_MILLIS = 10_000;
  private static final long MAXIMUM_PAUSE_MILLIS = 500;

  private final RandomGenerator random;
  private final Backoff backoff;
  private Optional<String> failure = Optional.empty();
  private boolean running;
  private long expiresAtMillis;
  private long startAtMillis;
  private long revision;

  WatchScheduler(RandomGenerator random) {
    this.random = random;
    this.backoff = new Backoff(random);
  }

  Optional<String> failure() {
    return failure;
  }

  boolean isRunning() {
    return running;
  }

  /** Starts a watch if the next watch is due and the rate limit permits the call. */
  Optional<FollowCommand> start(CallRateLimiter limiter, long nowMillis) {
    if (running && nowMillis >= expiresAtMillis) {
      onFailure("no response to the watch before its timeout", nowMillis);
    }
    if (running || nowMillis < startAtMillis || !limiter.tryAcquire(nowMillis)) {
      return Optional.empty();
    }
    running = true;
    long waitMillis = MINIMUM_WAIT_MILLIS + random.nextLong(WAIT_JITTER_MILLIS);
    expiresAtMillis = nowMillis + waitMillis + ANSWER_GRACE_MILLIS;
    return Optional.of(new FollowCommand.Watch(revision, waitMillis));
  }

  /** Records a response. Returns whether a watch was running; otherwise the response is ignored. */
  boolean onResponse(long answeredRevision, long nowMillis) {
    if (!onUnchanged(nowMillis)) {
      return false;
    }
    revision = Math.max(revision, answeredRevision);
    return true;
  }

  /** Records a response that reports no change. Returns whether a watch was running. */
  boolean onUnchanged(long nowMillis) {
    if (!running) {
      return false;
    }
    running = false;
    failure = Optional.empty();
    backoff.reset();
    // Limits the rate of watches if the service responds at once instead of holding the request.
    startAtMillis =
        nowMillis + MAXIMUM_PAUSE_MILLIS / 2 + random.nextLong(MAXIMUM_PAUSE_MILLIS / 2);
    return true;
  }

  void onFailure(String reason, long nowMillis) {
    if (!running) {
      return;
    }
    running = false;
    failure = Optional.of(reason);
    // The service may have been rebuilt in the meantime and restarted its revision numbers.
    revision = 0;
    startAtMillis = nowMillis + backoff.nextDelayMillis();
  }

  void stop() {
    running = false;
    failure = Optional.empty();
  }
}
