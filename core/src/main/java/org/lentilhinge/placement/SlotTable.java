package org.lentilhinge.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lentilhinge.identity.AdapterVersion;

/** Tracks the use of an engine's adapter slots. A slot is never assigned to two versions. */
final class SlotTable {

  private record Residency(long loadedAtMillis, long lastUsedAtMillis) {}

  private final int slotCount;
  private final Map<AdapterVersion, Residency> resident = new TreeMap<>();
  private final Map<AdapterVersion, Residency> unloading = new HashMap<>();
  private final Set<AdapterVersion> loading = new HashSet<>();

  SlotTable(int slots) {
    this.slotCount = slots;
  }

  int free() {
    return slotCount - resident.size() - unloading.size() - loading.size();
  }

  boolean isResident(AdapterVersion version) {
    return resident.containsKey(version);
  }

  boolean isUnloading(AdapterVersion version) {
    return unloading.containsKey(version);
  }

  boolean isLoading(AdapterVersion version) {
    return loading.contains(version);
  }

  Set<AdapterVersion> resident() {
    return resident.keySet();
  }

  Set<AdapterVersion> loading() {
    return loading;
  }

  int unloadingCount() {
    return unloading.size();
  }

  void startLoad(AdapterVersion version) {
    if (free() < 1) {
      throw new IllegalStateException("no free adapter slot for " + version);
    }
    loading.add(version);
  }

  void finishLoad(AdapterVersion version, long nowMillis) {
    if (loading.remove(version)) {
      resident.put(version, new Residency(nowMillis, nowMillis));
    }
  }

  void failLoad(AdapterVersion version) {
    loading.remove(version);
  }

  void startUnload(AdapterVersion version) {
    Residency residency = resident.remove(version);
    if (residency != null) {
      unloading.put(version, residency);
    }
  }

  void finishUnload(AdapterVersion version) {
    unloading.remove(version);
  }

  void failUnload(AdapterVersion version) {
    Residency residency = unloading.remove(version);
    if (residency != null) {
      resident.put(version, residency);
    }
  }

  void recordUse(AdapterVersion version, long nowMillis) {
    resident.computeIfPresent(
        version, (unused, residency) -> new Residency(residency.loadedAtMillis(), nowMillis));
  }

  /** Reconciles the table with the engine's list, which was taken after {@code takenAtMillis}. */
  void reconcile(Set<AdapterVersion> reported, long takenAtMillis, long nowMillis) {
    resident
        .entrySet()
        .removeIf(
            entry ->
                !reported.contains(entry.getKey())
                    && entry.getValue().loadedAtMillis() < takenAtMillis);
    for (AdapterVersion version : reported) {
      if (!isLoading(version) && !isUnloading(version) && free() > 0) {
        resident.putIfAbsent(version, new Residency(nowMillis, nowMillis));
      }
    }
  }

  void clear() {
    resident.clear();
    unloading.clear();
    loading.clear();
  }

  List<ResidentVersion> candidates(
      Predicate<AdapterVersion> mayEvict, PopularityEstimator popularity, long nowMillis) {
    return resident.entrySet().stream()
        .filter(entry -> mayEvict.test(entry.getKey()))
        .map(
            entry ->
                new ResidentVersion(
                    entry.getKey(),
                    entry.getValue().loadedAtMillis(),
                    entry.getValue().lastUsedAtMillis(),
                    popularity.requestsPerSecond(entry.getKey(), nowMillis)))
        .toList();
  }
}
