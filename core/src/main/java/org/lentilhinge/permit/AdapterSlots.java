package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Holds the adapter slots of one engine. A slot that is loading or unloading counts as taken. */
final class AdapterSlots {

  private final int capacity;
  private final Map<String, AdapterSlot> slots = new LinkedHashMap<>();

  AdapterSlots(int capacity) {
    this.capacity = capacity;
  }

  Optional<AdapterSlot> find(String adapter) {
    return Optional.ofNullable(slots.get(adapter));
  }

  /** Tells whether an adapter can be used now, in a version or a newer one. */
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

  /** Counts the slots that could serve another adapter now. */
  int available() {
    return free() + (int) slots.values().stream().filter(AdapterSlot::isIdle).count();
  }

  /** Finds the idle adapter that is least likely to be needed, apart from those wanted now. */
  Optional<AdapterSlot> victim(Set<String> wanted, AdapterDemand demand, long nowMillis) {
    return slots.values().stream()
        .filter(slot -> slot.isIdle() && !wanted.contains(slot.adapter))
        .min(
            Comparator.<AdapterSlot>comparingDouble(slot -> demand.of(slot.adapter, nowMillis))
                .thenComparingLong(slot -> slot.usedMillis));
  }

  List<String> names() {
    List<String> names = new ArrayList<>();
    for (AdapterSlot slot : slots.values()) {
      if (slot.state != AdapterSlot.State.UNLOADING) {
        names.add(slot.adapter);
      }
    }
    return names;
  }
}
