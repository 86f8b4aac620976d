package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Keeps the requests that wait at one desk. */
final class RequestQueue {

  private final Map<String, WaitingRequest> waiting = new LinkedHashMap<>();

  void add(WaitingRequest request) {
    waiting.put(request.key(), request);
  }

  void remove(String key) {
    waiting.remove(key);
  }

  void removeHost(String host) {
    waiting.values().removeIf(one -> one.host().equals(host));
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

  /** Sorts those that can still be on time before the others, each by the time of their aim. */
  List<WaitingRequest> byUrgency(long nowMillis) {
    List<WaitingRequest> order = new ArrayList<>(waiting.values());
    order.sort(
        Comparator.<WaitingRequest>comparingInt(one -> one.canBeOnTime(nowMillis) ? 0 : 1)
            .thenComparingLong(WaitingRequest::aimAtMillis));
    return order;
  }

  boolean hasAdapter(String adapter) {
    return waiting.values().stream().anyMatch(one -> one.ask().adapter().equals(adapter));
  }

  Set<String> adapters() {
    Set<String> adapters = new HashSet<>();
    waiting.values().forEach(one -> adapters.add(one.ask().adapter()));
    return adapters;
  }

  /** Counts the adapters that wait for a slot. */
  int slotsWanted(AdapterSlots slots) {
    Set<String> absent = adapters();
    absent.removeIf(adapter -> slots.find(adapter).isPresent());
    return absent.size();
  }

  int promptTokens() {
    return waiting.values().stream().mapToInt(one -> one.ask().promptTokens()).sum();
  }
}
