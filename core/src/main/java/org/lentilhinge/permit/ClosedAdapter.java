package org.lentilhinge.permit;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

/** Names the adapter that takes no new requests, so that its runs end and it can make way. */
final class ClosedAdapter {

  private Optional<String> closed = Optional.empty();

  boolean is(String adapter) {
    return closed.equals(Optional.of(adapter));
  }

  /** Opens an adapter again, or lets the next be closed. */
  void open(String adapter) {
    closed = closed.filter(name -> !name.equals(adapter));
  }

  /** Closes the adapter whose runs end soonest, one at a time; returns it once it is idle. */
  Optional<AdapterSlot> closeOne(AdapterSlots slots, Set<String> wanted, RunningRequests running) {
    Optional<AdapterSlot> current = closed.flatMap(slots::find);
    if (current.isEmpty()) {
      current =
          slots.all().stream()
              .filter(slot -> slot.state == AdapterSlot.State.RESIDENT)
              .min(
                  Comparator.<AdapterSlot>comparingInt(
                          slot -> wanted.contains(slot.adapter) ? 1 : 0)
                      .thenComparingLong(slot -> running.endMillis(slot.adapter)));
      closed = current.map(slot -> slot.adapter);
    }
    return current.filter(AdapterSlot::isIdle);
  }
}
