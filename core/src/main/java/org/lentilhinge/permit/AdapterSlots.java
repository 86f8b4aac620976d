package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The adapter slots of one engine. A slot that is loading or unloading counts as occupied. */
final class AdapterSlots {

  private final int capacity;
  private final Map<String, AdapterSlot> slots = new LinkedHashMap<>();

  AdapterSlots(int capacity) {
    this.capacity = capacity;
  }

  Optional<AdapterSlot> find(String adapter) {
    return Optional.ofNullable(slots.get(adapter));
  }

  /** Returns whether an adapter is loaded in the given version or a newer one. */
  boolean isResident(String adapter, long version) {
    return find(adapter)
        .filter(slot -> slot.state == AdapterSlot.State.RESIDENT && slot.version >= version)
        .isPresent();
  }

  AdapterSlot put(String adapter, long version, AdapterSlot.State state, long nowMillis) {
    AdapterSlot slot = new AdapterSlot(adapter, version, state, nowMillis);
    slots.put(adapter, slot);
    return slot;
  }

  void remove(String adapter) {
    slots.remove(adapter);
  }

  Collection<AdapterSlot> all() {
    return slots.values();
  }

  int free() {
    return Math.max(0, capacity - slots.size());
  }

  int loading() {
    return (int) slots.values().stream().filter(AdapterSlot::isLoading).count();
  }

  int unloading() {
    return (int)
        slots.values().stream().filter(slot -> slot.state == AdapterSlot.State.UNLOADING).count();
  }

  /** Returns whether an adapter is loading that was ordered under another ownership. */
  boolean hasLoadOrderedElsewhere() {
    return slots.values().stream().anyMatch(slot -> slot.orderedElsewhere);
  }

  /** Replaces all slots by those that a report shows. */
  void replaceAll(Map<String, Long> resident, Map<String, Long> loading, long nowMillis) {
    slots.clear();
    resident.forEach((name, version) -> put(name, version, AdapterSlot.State.RESIDENT, nowMillis));
    loading.forEach(
        (name, version) ->
            put(name, version, AdapterSlot.State.LOADING, nowMillis).orderedElsewhere = true);
  }

  /** Updates the loads that were ordered under another ownership, which only reports end. */
  void updateLoadsOrderedElsewhere(
      Map<String, Long> resident,
      Map<String, Long> loading,
      long requestedAtMillis,
      long nowMillis) {
    for (AdapterSlot slot : List.copyOf(slots.values())) {
      if (!slot.orderedElsewhere || loading.containsKey(slot.adapter)) {
        continue;
      }
      if (resident.containsKey(slot.adapter)) {
        slot.setResident(resident.get(slot.adapter), nowMillis);
      } else if (requestedAtMillis - slot.changedAtMillis
          > EngineOwnership.MAXIMUM_REPORT_AGE_MILLIS) {
        remove(slot.adapter);
      }
    }
  }

  /** Returns the number of slots that are free or hold an adapter without running requests. */
  int available() {
    return free() + (int) slots.values().stream().filter(AdapterSlot::isIdle).count();
  }

  /**
   * Selects the adapter to evict: the idle adapter with the least demand, or the least recently
   * used one if several have the same demand. Adapters for which requests wait are never selected.
   */
  Optional<AdapterSlot> evictionCandidate(
      Set<String> requested, AdapterDemand demand, long nowMillis) {
    return slots.values().stream()
        .filter(slot -> slot.isIdle() && !requested.contains(slot.adapter))
        .min(
            Comparator.<AdapterSlot>comparingDouble(slot -> demand.weight(slot.adapter, nowMillis))
                .thenComparingLong(slot -> slot.lastUsedAtMillis));
  }

  List<String> loadedOrLoadingNames() {
    List<String> names = new ArrayList<>();
    for (AdapterSlot slot : slots.values()) {
      if (slot.state != AdapterSlot.State.UNLOADING) {
        names.add(slot.adapter);
      }
    }
    return names;
  }
}
