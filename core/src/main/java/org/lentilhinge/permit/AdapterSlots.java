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

  void clear() {
    slots.clear();
  }

  Collection<AdapterSlot> all() {
    return slots.values();
  }

  int free() {
    return Math.max(0, capacity - slots.size());
  }

  int loading() {
    return count(AdapterSlot.State.LOADING);
  }

  int unloading() {
    return count(AdapterSlot.State.UNLOADING);
  }

  private int count(AdapterSlot.State state) {
    return (int) slots.values().stream().filter(slot -> slot.state == state).count();
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
