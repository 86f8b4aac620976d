package org.lentilhinge.placement;

import java.util.List;
import java.util.Optional;

/** Selects the resident version to evict when a slot is needed. */
public interface EvictionStrategy {

  /**
   * Selects a victim.
   *
   * @param candidates the versions that may be evicted now
   * @param nowMillis the monotonic time, in milliseconds
   * @return the victim, or empty to evict none
   */
  Optional<ResidentVersion> selectVictim(List<ResidentVersion> candidates, long nowMillis);
}
