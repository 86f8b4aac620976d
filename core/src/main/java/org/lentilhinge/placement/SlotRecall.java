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
final class SlotRecall {

  private static final long WANTED_MILLIS = 1_000;
  private static final long AGAIN_MILLIS = 1_000;

  private final EvictionStrategy eviction;
  private final Map<AdapterVersion, Long> recalledMillis = new HashMap<>();
  private long wantedUntilMillis = Long.MIN_VALUE;

  SlotRecall(EvictionStrategy eviction) {
    this.eviction = eviction;
  }

  /** Records that a load was declined because no slot could be freed. */
  void want(long nowMillis) {
    wantedUntilMillis = nowMillis + WANTED_MILLIS;
  }

  boolean isWanted(long nowMillis) {
    return nowMillis < wantedUntilMillis;
  }

  Optional<AdapterVersion> next(List<ResidentVersion> resident, long nowMillis) {
    recalledMillis.values().removeIf(recalled -> nowMillis - recalled >= AGAIN_MILLIS);
    List<ResidentVersion> candidates =
        resident.stream()
            .filter(candidate -> !recalledMillis.containsKey(candidate.version()))
            .toList();
    Optional<AdapterVersion> next =
        eviction.victim(candidates, nowMillis).map(ResidentVersion::version);
    next.ifPresent(version -> recalledMillis.put(version, nowMillis));
    return next;
  }
}
