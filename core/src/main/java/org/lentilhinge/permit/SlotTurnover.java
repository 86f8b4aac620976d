package org.lentilhinge.permit;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Decides which adapters an engine loads, and which ones it unloads to make room for them. */
final class SlotTurnover {

  private final SchedulerSettings settings;
  private final String model;
  private final AdapterSlots slots;
  private final AdapterDemand demand;
  private final DrainingAdapter draining = new DrainingAdapter();

  /** The number of slots being freed that no waiting request has claimed in this decision. */
  private int unclaimedSlots;

  /** Whether an adapter is unloaded before the next load, also if a slot is free. */
  private boolean unloadFirst;

  SlotTurnover(SchedulerSettings settings, String model, AdapterSlots slots, AdapterDemand demand) {
    this.settings = settings;
    this.model = model;
    this.slots = slots;
    this.demand = demand;
  }

  /** Sets whether an adapter is unloaded before the next load, as far as one is idle. */
  void setUnloadFirst(boolean required) {
    unloadFirst = required;
  }

  /** Begins a decision about all waiting requests. */
  void begin() {
    unclaimedSlots = slots.unloading();
  }

  /** Indicates whether an adapter gets no new requests, so that it can be unloaded. */
  boolean isDraining(String adapter) {
    return draining.matches(adapter);
  }

  /** Loads the adapter of a waiting request, or begins to free a slot for it. */
  void loadOrEvict(
      QueueEntry entry,
      RequestQueue queue,
      Set<String> requested,
      RunningRequests running,
      long nowMillis,
      List<EngineCommand> commands) {
    if (slots.loading() >= settings.maximumLoads()) {
      return;
    }
    PermitRequest request = entry.request();
    if (slots.free() > 0 && !mustUnloadFirst(requested, nowMillis)) {
      load(request.adapter(), request.version(), "absent", nowMillis, commands);
      return;
    }
    if (unclaimedSlots > 0) {
      unclaimedSlots--;
      return;
    }
    Optional<AdapterSlot> evicted = slots.evictionCandidate(requested, demand, nowMillis);
    if (evicted.isEmpty()
        && DrainingAdapter.isDue(entry.waitedMillis(nowMillis), queue.adaptersWithoutSlot(slots))) {
      evicted = draining.drainOne(slots, requested, running);
    }
    evicted.ifPresent(slot -> unload(slot, "for:" + request.adapter(), commands));
  }

  private boolean mustUnloadFirst(Set<String> requested, long nowMillis) {
    return unloadFirst
        && (slots.unloading() > 0
            || slots.evictionCandidate(requested, demand, nowMillis).isPresent());
  }

  /**
   * Loads an adapter for which no request waits yet, in place of an idle one with less demand. The
   * slot that is freed for it is used by a later call.
   */
  void loadAhead(
      String adapter,
      long version,
      double weight,
      Set<String> requested,
      long nowMillis,
      List<EngineCommand> commands) {
    boolean busy = slots.loading() > 0 || slots.unloading() > 0;
    if (busy || slots.find(adapter).isPresent()) {
      return;
    }
    if (slots.free() > 0 && !mustUnloadFirst(requested, nowMillis)) {
      load(adapter, version, "demand", nowMillis, commands);
      return;
    }
    slots
        .evictionCandidate(requested, demand, nowMillis)
        .filter(slot -> demand.weight(slot.adapter, nowMillis) < weight)
        .ifPresent(slot -> unload(slot, "for:" + adapter, commands));
  }

  private void unload(AdapterSlot slot, String reason, List<EngineCommand> commands) {
    slot.state = AdapterSlot.State.UNLOADING;
    draining.end(slot.adapter);
    AdapterOrder order = new AdapterOrder(false, model, slot.adapter, 0);
    commands.add(new EngineCommand.Order(order, reason));
  }

  /** Loads an adapter that is absent. */
  void load(
      String adapter, long version, String reason, long nowMillis, List<EngineCommand> commands) {
    AdapterSlot slot =
        slots
            .find(adapter)
            .orElseGet(() -> slots.put(adapter, version, AdapterSlot.State.LOADING, nowMillis));
    order(slot, AdapterSlot.State.LOADING, version, reason, nowMillis, commands);
  }

  /** Loads the announced version of an adapter that is resident in a former one. */
  void replace(AdapterSlot slot, long version, long nowMillis, List<EngineCommand> commands) {
    AdapterSlot.State state = AdapterSlot.State.REPLACING;
    order(slot, state, version, "version-announced", nowMillis, commands);
  }

  private void order(
      AdapterSlot slot,
      AdapterSlot.State state,
      long version,
      String reason,
      long nowMillis,
      List<EngineCommand> commands) {
    slot.state = state;
    slot.changedAtMillis = nowMillis;
    AdapterOrder order = new AdapterOrder(true, model, slot.adapter, version);
    commands.add(new EngineCommand.Order(order, reason));
  }

  /** Records that an order for an adapter was carried out, or that the engine refused it. */
  void recordOrder(AdapterOrder order, boolean done, long nowMillis) {
    Optional<AdapterSlot> slot = slots.find(order.adapter());
    if (order.load() && done) {
      slot.ifPresent(
          found -> found.setResident(Math.max(found.version, order.version()), nowMillis));
    } else if (done || slot.filter(found -> found.state == AdapterSlot.State.LOADING).isPresent()) {
      slots.remove(order.adapter());
    } else {
      slot.ifPresent(found -> found.state = AdapterSlot.State.RESIDENT);
    }
  }

  /** Records what a report shows of an adapter whose order was not carried out. */
  void recordAbandonedOrder(AdapterOrder order, OptionalLong residentVersion, long nowMillis) {
    if (residentVersion.isEmpty()) {
      slots.remove(order.adapter());
    } else {
      slots
          .find(order.adapter())
          .ifPresent(slot -> slot.setResident(residentVersion.getAsLong(), nowMillis));
    }
  }
}
