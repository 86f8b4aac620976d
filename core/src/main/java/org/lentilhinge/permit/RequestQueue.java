package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The queue of permit requests at one engine scheduler. */
final class RequestQueue {

  private final Map<String, QueueEntry> entries = new LinkedHashMap<>();
  private final RequestOrder targetOrder = new TargetOrder();
  private final StandingOrder standingOrder = new StandingOrder();

  /** The number of requests that state a customer. */
  private int standings;

  /** The requests in their order at a time; empty if requests were added or removed since. */
  private List<QueueEntry> sorted = List.of();

  private long sortedAtMillis;

  void add(QueueEntry entry) {
    QueueEntry former = entries.put(entry.key(), entry);
    sorted = List.of();
    standings += count(entry) - count(former);
    standingOrder.recordArrival(entry);
  }

  void remove(String key) {
    sorted = List.of();
    standings -= count(entries.remove(key));
    standingOrder.remove(key);
  }

  boolean contains(String key) {
    return entries.containsKey(key);
  }

  private static int count(QueueEntry entry) {
    return entry != null && entry.standing().isPresent() ? 1 : 0;
  }

  void removeEnded(EndedPermits ended, long nowMillis) {
    for (QueueEntry entry : all()) {
      if (ended.contains(entry.host(), entry.request(), entry.waitedMillis(nowMillis))) {
        remove(entry.key());
      }
    }
  }

  /** Removes all requests and returns their refusals. */
  List<EngineCommand> refuseAll(long retryMillis, String reason, long nowMillis) {
    List<EngineCommand> refusals = new ArrayList<>();
    for (QueueEntry entry : entries.values()) {
      refusals.add(entry.refusal(retryMillis, reason, nowMillis));
    }
    all().forEach(entry -> remove(entry.key()));
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

  /** Returns the requests in the order in which they are to be served. */
  List<QueueEntry> byUrgency(long nowMillis) {
    if (sorted.isEmpty() || sortedAtMillis != nowMillis) {
      sorted = order().sort(entries.values(), nowMillis);
      sortedAtMillis = nowMillis;
    }
    return new ArrayList<>(sorted);
  }

  /** Returns the order that applies: a single request that states a customer decides. */
  RequestOrder order() {
    return hasStanding() ? standingOrder : targetOrder;
  }

  boolean hasStanding() {
    return standings > 0;
  }

  /** Records that a waiting request got a permit. */
  void recordPermit(QueueEntry entry) {
    standingOrder.recordPermit(entry);
  }

  /** Records that a request was refused for want of capacity. */
  void recordRefusal(QueueEntry entry) {
    standingOrder.recordRefusal(entry);
  }

  /** Restores the runs of refusals that a waiting request ended when it arrived. */
  void restoreRuns(QueueEntry entry) {
    standingOrder.restoreRuns(entry);
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

  long promptTokens() {
    return entries.values().stream().mapToLong(entry -> entry.request().promptTokens()).sum();
  }
}
