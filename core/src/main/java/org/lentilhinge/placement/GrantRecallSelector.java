package org.lentilhinge.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.identity.AdapterVersion;

/**
 * Selects the versions whose grants are recalled to free a slot. A version is not selected again
 * for some time, so that a version that remains in use does not block the recall of the others.
 */
final class GrantRecallSelector {

  private static final long RECALL_WINDOW_MILLIS = 1_000;
  private static final long RECALL_INTERVAL_MILLIS = 1_000;

  private final EvictionStrategy eviction;
  private final Map<AdapterVersion, Long> recalledAtMillis = new HashMap<>();
  private long neededUntilMillis = Long.MIN_VALUE;

  GrantRecallSelector(EvictionStrategy eviction) {
    this.eviction = eviction;
  }

  /** Records that a load was declined because no slot could be freed. */
  void recordDeclinedLoad(long nowMillis) {
    neededUntilMillis = nowMillis + RECALL_WINDOW_MILLIS;
  }

  boolean isNeeded(long nowMillis) {
    return nowMillis < neededUntilMillis;
  }

  Optional<AdapterVersion> next(List<ResidentVersion> resident, long nowMillis) {
    recalledAtMillis.values().removeIf(atMillis -> nowMillis - atMillis >= RECALL_INTERVAL_MILLIS);
    List<ResidentVersion> candidates =
        resident.stream()
            .filter(candidate -> !recalledAtMillis.containsKey(candidate.version()))
            .toList();
    Optional<AdapterVersion> next =
        eviction.selectVictim(candidates, nowMillis).map(ResidentVersion::version);
    next.ifPresent(version -> recalledAtMillis.put(version, nowMillis));
    return next;
  }
}
