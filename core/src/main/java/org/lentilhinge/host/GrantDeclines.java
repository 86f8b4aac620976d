package org.lentilhinge.host;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;

/**
 * Records the versions that owners have declined and the times at which the declines expire, so
 * that the requests that wait for the same version do not repeat their grant requests to each of
 * these owners.
 */
final class GrantDeclines {

  private static final long MINIMUM_RETRY_AFTER_MILLIS = 100;

  private final Map<AdapterVersion, Map<EndpointId, Long>> expiresAtMillis = new HashMap<>();

  void add(AdapterVersion version, EndpointId endpoint, long retryAfterMillis, long nowMillis) {
    expiresAtMillis
        .computeIfAbsent(version, absent -> new HashMap<>())
        .put(endpoint, nowMillis + Math.max(MINIMUM_RETRY_AFTER_MILLIS, retryAfterMillis));
  }

  /** Returns the endpoints whose owners currently decline a version. */
  Set<EndpointId> decliningEndpoints(AdapterVersion version, long nowMillis) {
    Map<EndpointId, Long> declines = expiresAtMillis.get(version);
    if (declines == null) {
      return Set.of();
    }
    declines.values().removeIf(untilMillis -> untilMillis <= nowMillis);
    return new HashSet<>(declines.keySet());
  }

  /** Removes the expired declines. */
  void expire(long nowMillis) {
    expiresAtMillis
        .values()
        .removeIf(
            declines -> {
              declines.values().removeIf(untilMillis -> untilMillis <= nowMillis);
              return declines.isEmpty();
            });
  }
}
