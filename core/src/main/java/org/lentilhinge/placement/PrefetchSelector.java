package org.lentilhinge.placement;

import java.util.Optional;
import java.util.function.Predicate;
import org.lentilhinge.identity.AdapterVersion;

/**
 * Selects versions that are worth loading before a request waits for them. A version must be
 * requested several times as often as the version that it replaces, to avoid thrashing of slots.
 */
final class PrefetchSelector {

  private static final long REVIEW_INTERVAL_MILLIS = 500;

  private final PlacementSettings settings;
  private final PopularityEstimator popularity;
  private long nextReviewMillis = Long.MIN_VALUE;

  PrefetchSelector(PlacementSettings settings, PopularityEstimator popularity) {
    this.settings = settings;
    this.popularity = popularity;
  }

  boolean isDue(long nowMillis) {
    return settings.prefetchLimit() > 0 && nowMillis >= nextReviewMillis;
  }

  Optional<AdapterVersion> next(
      Predicate<AdapterVersion> isAbsent, Optional<ResidentVersion> victim, long nowMillis) {
    nextReviewMillis = nowMillis + REVIEW_INTERVAL_MILLIS;
    double replacementPerSecond =
        victim
            .map(version -> version.requestsPerSecond() * settings.prefetchRateFactor())
            .orElse(0.0);
    double minimumPerSecond = Math.max(replacementPerSecond, settings.prefetchMinimumPerSecond());
    return popularity.mostRequested(settings.popularityCapacity(), nowMillis).stream()
        .filter(isAbsent)
        .findFirst()
        .filter(version -> popularity.requestsPerSecond(version, nowMillis) > minimumPerSecond);
  }
}
