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

  private final Map<String, QueueEntry> entries = new LinkedHashMap<>();

  void add(QueueEntry entry) {
    entries.put(entry.key(), entry);
  }

  void remove(String key) {
    entries.remove(key);
  }

  void removeEnded(EndedPermits ended, long nowMillis) {
    entries
        .values()
        .removeIf(
            entry -> ended.contains(entry.host(), entry.request(), entry.waitedMillis(nowMillis)));
  }

  /** Removes all requests and returns their refusals. */
  List<EngineCommand> refuseAll(long retryMillis, String reason, long nowMillis) {
    List<EngineCommand> refusals = new ArrayList<>();
    for (QueueEntry entry : entries.values()) {
      refusals.add(entry.refusal(retryMillis, reason, nowMillis));
    }
    entries.clear();
    return refusals;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  int size() {
    return entries.size();
  }

  List<QueueEntry> all() {
    return List.copyOf(entries.values());
  }

  /**
   * Returns the requests that can still meet their target, followed by the others. Each group is
   * ordered by the target time of the first event.
   */
  List<QueueEntry> byUrgency(long nowMillis) {
    List<QueueEntry> sorted = new ArrayList<>(entries.values());
    sorted.sort(
        Comparator.<QueueEntry>comparingInt(entry -> entry.canMeetTarget(nowMillis) ? 0 : 1)
            .thenComparingLong(QueueEntry::targetAtMillis));
    return sorted;
  }

  boolean hasAdapter(String adapter) {
    return entries.values().stream().anyMatch(entry -> entry.request().adapter().equals(adapter));
  }

  Set<String> adapters() {
    Set<String> adapters = new HashSet<>();
    entries.values().forEach(entry -> adapters.add(entry.request().adapter()));
    return adapters;
  }

  /** Returns the number of adapters that have waiting requests but no slot. */
  int adaptersWithoutSlot(AdapterSlots slots) {
    Set<String> absent = adapters();
    absent.removeIf(adapter -> slots.find(adapter).isPresent());
    return absent.size();
  }

  int promptTokens() {
    return entries.values().stream().mapToInt(entry -> entry.request().promptTokens()).sum();
  }
}
