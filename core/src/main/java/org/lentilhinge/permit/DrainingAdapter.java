package org.lentilhinge.permit;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks the adapter that is draining: it gets no new requests, so that its running requests end
 * and it can be unloaded to free its slot. At most one adapter of an engine drains at a time.
 */
final class DrainingAdapter {

  /** The wait after which an adapter in use is drained if one adapter lacks a slot. */
  private static final long DRAIN_AFTER_MILLIS = 150;

  /** The wait if several lack one: slots are scarce, and adapters in use serve most requests. */
  private static final long BUSY_DRAIN_AFTER_MILLIS = 600;

  private Optional<String> adapterName = Optional.empty();

  /** Indicates whether an adapter is drained for a request that has waited for some time. */
  static boolean isDue(long waitedMillis, int adaptersWithoutSlot) {
    return waitedMillis
        >= (adaptersWithoutSlot <= 1 ? DRAIN_AFTER_MILLIS : BUSY_DRAIN_AFTER_MILLIS);
  }

  boolean matches(String adapter) {
    return adapterName.equals(Optional.of(adapter));
  }

  /** Ends the draining of an adapter, so that another adapter can be drained. */
  void end(String adapter) {
    adapterName = adapterName.filter(name -> !name.equals(adapter));
  }

  /**
   * Drains the resident adapter whose running requests are predicted to end soonest, preferring
   * those for which no request waits; an adapter that is already draining is kept. Returns the
   * draining adapter once it is idle.
   */
  Optional<AdapterSlot> drainOne(
      AdapterSlots slots, Set<String> requested, RunningRequests running) {
    Optional<AdapterSlot> selected = adapterName.flatMap(slots::find);
    if (selected.isEmpty()) {
      selected =
          slots.all().stream()
              .filter(slot -> slot.state == AdapterSlot.State.RESIDENT)
              .min(
                  Comparator.<AdapterSlot>comparingInt(
                          slot -> requested.contains(slot.adapter) ? 1 : 0)
                      .thenComparingLong(slot -> running.predictedEndAtMillis(slot.adapter)));
      adapterName = selected.map(slot -> slot.adapter);
    }
    return selected.filter(AdapterSlot::isIdle);
  }
}
