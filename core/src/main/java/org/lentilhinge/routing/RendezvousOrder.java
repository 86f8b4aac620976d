package org.lentilhinge.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.lentilhinge.identity.AdapterId;

/** Orders engines for an adapter by rendezvous hashing. The order is the same on all gateways. */
final class RendezvousOrder {

  private RendezvousOrder() {}

  static List<EngineView> sort(AdapterId adapter, Collection<EngineView> engines) {
    return engines.stream()
        .sorted(Comparator.comparingLong((EngineView view) -> -weight(adapter, view)))
        .toList();
  }

  /**
   * Returns the weight of an engine for an adapter. The engine with the greatest weight comes
   * first.
   */
  static long weight(AdapterId adapter, EngineView view) {
    long mixed = mix(adapter.value().hashCode() * 0x9E3779B97F4A7C15L);
    return mix(mixed ^ view.engine().id().value().hashCode()) >>> 1;
  }

  private static long mix(long value) {
    long first = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
    long second = (first ^ first >>> 27) * 0x94D049BB133111EBL;
    return second ^ second >>> 31;
  }
}
