package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The queue of permit requests at one engine scheduler. */
final class RequestQueue {

  private final Map<String, WaitingRequest> waiting = new LinkedHashMap<>();

  void add(WaitingRequest request) {
    waiting.put(request.key(), request);
  }

  void remove(String key) {
    waiting.remove(key);
  }

  void removeHost(String host) {
    waiting.values().removeIf(request -> request.host().equals(host));
  }

  void clear() {
    waiting.clear();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  List<WaitingRequest> all() {
    return List.copyOf(waiting.values());
  }

  /**
   * Returns the requests that can still be on time, followed by the others, each group ordered by
   * the target time of the first event.
   */
  List<WaitingRequest> byUrgency(long nowMillis) {
    List<WaitingRequest> sorted = new ArrayList<>(waiting.values());
    sorted.sort(
        Comparator.<WaitingRequest>comparingInt(request -> request.canBeOnTime(nowMillis) ? 0 : 1)
            .thenComparingLong(WaitingRequest::aimAtMillis));
    return sorted;
  }

  boolean hasAdapter(String adapter) {
    return waiting.values().stream().anyMatch(request -> request.ask().adapter().equals(adapter));
  }

  Set<String> adapters() {
    Set<String> adapters = new HashSet<>();
    waiting.values().forEach(request -> adapters.add(request.ask().adapter()));
    return adapters;
  }

  /** Returns the number of adapters that have waiting requests but no slot. */
  int slotsWanted(AdapterSlots slots) {
    Set<String> absent = adapters();
    absent.removeIf(adapter -> slots.find(adapter).isPresent());
    return absent.size();
  }

  int promptTokens() {
    return waiting.values().stream().mapToInt(request -> request.ask().promptTokens()).sum();
  }
}
