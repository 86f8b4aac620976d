package org.lentilhinge.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.lentilhinge.identity.AdapterVersion;

/**
 * Delays the retries of failed loads by exponential backoff with jitter, and detects poisoned
 * versions.
 */
final class LoadBackoff {

  private static final int MAXIMUM_DOUBLINGS = 16;

  private record Failure(int consecutiveFailures, long retryAtMillis) {}

  private final PlacementSettings settings;
  private final RandomGenerator random;
  private final Map<AdapterVersion, Failure> failures = new HashMap<>();

  LoadBackoff(PlacementSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  void recordFailure(AdapterVersion version, long nowMillis) {
    int consecutiveFailures =
        failures.containsKey(version) ? failures.get(version).consecutiveFailures() + 1 : 1;
    int doublings = Math.min(consecutiveFailures - 1, MAXIMUM_DOUBLINGS);
    long pauseMillis =
        Math.min(settings.retryMaximumMillis(), settings.retryBaseMillis() << doublings);
    if (consecutiveFailures >= settings.poisonFailures()) {
      pauseMillis = settings.retryMaximumMillis();
    }
    long jitteredMillis = pauseMillis / 2 + (long) (random.nextDouble() * pauseMillis / 2);
    failures.put(version, new Failure(consecutiveFailures, nowMillis + jitteredMillis));
  }

  void recordSuccess(AdapterVersion version) {
    failures.remove(version);
  }

  /**
   * Returns the time in milliseconds until a version's next load may start; 0 if it may start now.
   */
  long pauseMillis(AdapterVersion version, long nowMillis) {
    Failure failure = failures.get(version);
    return failure == null ? 0 : Math.max(0, failure.retryAtMillis() - nowMillis);
  }

  boolean isPoisoned(AdapterVersion version, long nowMillis) {
    Failure failure = failures.get(version);
    return failure != null
        && failure.consecutiveFailures() >= settings.poisonFailures()
        && failure.retryAtMillis() > nowMillis;
  }

  /** Removes failures whose retry has been due for longer than the maximum pause. */
  void removeExpired(long nowMillis) {
    failures
        .values()
        .removeIf(failure -> nowMillis - failure.retryAtMillis() > settings.retryMaximumMillis());
  }
}
