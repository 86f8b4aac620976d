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

  private final Map<String, QueueEntry> requests = new LinkedHashMap<>();

  void add(QueueEntry request) {
    requests.put(request.key(), request);
  }

  void remove(String key) {
    requests.remove(key);
  }

  void removeHost(String host) {
    requests.values().removeIf(request -> request.host().equals(host));
  }

  void clear() {
    requests.clear();
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  List<QueueEntry> all() {
    return List.copyOf(requests.values());
  }

  /**
   * Returns the requests that can still be on time, followed by the others, each group ordered by
   * the target time of the first event.
   */
  List<QueueEntry> byUrgency(long nowMillis) {
    List<QueueEntry> sorted = new ArrayList<>(requests.values());
    sorted.sort(
        Comparator.<QueueEntry>comparingInt(request -> request.canBeOnTime(nowMillis) ? 0 : 1)
            .thenComparingLong(QueueEntry::targetAtMillis));
    return sorted;
  }

  boolean hasAdapter(String adapter) {
    return requests.values().stream()
        .anyMatch(request -> request.request().adapter().equals(adapter));
  }

  Set<String> adapters() {
    Set<String> adapters = new HashSet<>();
    requests.values().forEach(request -> adapters.add(request.request().adapter()));
    return adapters;
  }

  /** Returns the number of adapters that have waiting requests but no slot. */
  int adaptersWithoutSlot(AdapterSlots slots) {
    Set<String> absent = adapters();
    absent.removeIf(adapter -> slots.find(adapter).isPresent());
    return absent.size();
  }

  int promptTokens() {
    return requests.values().stream().mapToInt(request -> request.request().promptTokens()).sum();
  }
}
