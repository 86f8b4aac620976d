package org.lentilhinge.emulator.engine;

import io.reactivex.rxjava3.core.Completable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.lentilhinge.identity.AdapterVersion;

/** Tracks the adapter versions that an engine has loaded or is loading. */
final class AdapterSlots {

  private final int slotCount;
  private final WeightSource weights;
  private final EngineStatistics statistics;
  private final Set<AdapterVersion> resident = new TreeSet<>();
  private final Map<AdapterVersion, Completable> loading = new HashMap<>();

  AdapterSlots(int slotCount, WeightSource weights, EngineStatistics statistics) {
    this.slotCount = slotCount;
    this.weights = weights;
    this.statistics = statistics;
  }

  synchronized boolean isResident(AdapterVersion adapter) {
    return resident.contains(adapter);
  }

  synchronized List<AdapterVersion> resident() {
    return List.copyOf(resident);
  }

  synchronized boolean hasSlotFor(AdapterVersion adapter) {
    return resident.contains(adapter)
        || loading.containsKey(adapter)
        || resident.size() + loading.size() < slotCount;
  }

  /** Loads a version, or returns the load of this version that is already in progress. */
  synchronized Completable load(AdapterVersion adapter) {
    if (resident.contains(adapter)) {
      return Completable.complete();
    }
    Completable pendingLoad = loading.get(adapter);
    if (pendingLoad != null) {
      return pendingLoad;
    }
    statistics.recordLoad();
    Completable load =
        weights
            .fetch(adapter)
            .doOnComplete(() -> finishLoad(adapter, true))
            .doOnError(error -> finishLoad(adapter, false))
            .cache();
    loading.put(adapter, load);
    return load;
  }

  synchronized boolean unload(AdapterVersion adapter) {
    return resident.remove(adapter);
  }

  synchronized void clear() {
    resident.clear();
    loading.clear();
  }

  private synchronized void finishLoad(AdapterVersion adapter, boolean loaded) {
    // A load that was in progress when the engine restarted has no effect.
    if (loading.remove(adapter) != null && loaded) {
      resident.add(adapter);
    }
  }
}
