package org.lentilhinge.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Evicts the least recently used version. */
public final class LeastRecentlyUsedEviction implements EvictionStrategy {

  @Override
  public Optional<ResidentVersion> selectVictim(List<ResidentVersion> candidates, long nowMillis) {
    return candidates.stream()
        .min(
            Comparator.comparingLong(ResidentVersion::lastUsedAtMillis)
                .thenComparing(ResidentVersion::version));
  }
}
