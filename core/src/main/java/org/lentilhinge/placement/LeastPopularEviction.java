package org.lentilhinge.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Evicts the version with the lowest request rate, because the reload of any version costs one
 * permit of the store. Recently loaded versions are kept, to avoid thrashing of slots.
 */
public final class LeastPopularEviction implements EvictionStrategy {

  private final long minimumResidencyMillis;

  /**
   * Creates the strategy.
   *
   * @param minimumResidencyMillis the minimum time that a loaded version stays resident, in
   *     milliseconds
   */
  public LeastPopularEviction(long minimumResidencyMillis) {
    this.minimumResidencyMillis = minimumResidencyMillis;
  }

  @Override
  public Optional<ResidentVersion> selectVictim(List<ResidentVersion> candidates, long nowMillis) {
    return candidates.stream()
        .filter(candidate -> nowMillis - candidate.loadedAtMillis() >= minimumResidencyMillis)
        .min(
            Comparator.comparingDouble(ResidentVersion::requestsPerSecond)
                .thenComparingLong(ResidentVersion::lastUsedAtMillis)
                .thenComparing(ResidentVersion::version));
  }
}
