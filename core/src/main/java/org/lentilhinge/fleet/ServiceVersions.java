package org.lentilhinge.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions of the endpoints of each service, and when each was last registered. While
 * a service has had one version since before a stream can have begun, that version began it.
 */
final class ServiceVersions {

  private final Map<String, Map<String, Long>> lastListedAtMillis = new HashMap<>();

  /** Records that an endpoint with a version is registered. */
  void recordListed(String service, String version, long nowMillis) {
    lastListedAtMillis.computeIfAbsent(service, unused -> new HashMap<>()).put(version, nowMillis);
  }

  /** Removes the versions that no endpoint has had since a time. */
  void expire(long sinceMillis) {
    lastListedAtMillis
        .values()
        .removeIf(
            versions -> {
              versions.values().removeIf(lastMillis -> lastMillis < sinceMillis);
              return versions.isEmpty();
            });
  }

  /** Returns the only version of a service since a time; empty if it had none or more. */
  Optional<String> onlyVersionSince(String service, long sinceMillis) {
    List<String> versions =
        lastListedAtMillis.getOrDefault(service, Map.of()).entrySet().stream()
            .filter(entry -> entry.getValue() >= sinceMillis)
            .map(Map.Entry::getKey)
            .toList();
    return versions.size() == 1 ? Optional.of(versions.get(0)) : Optional.empty();
  }
}
