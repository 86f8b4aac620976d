package org.lentilhinge.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A set whose elements expire after a retention time, and are propagated to other hosts for at most
 * that time. Both times are measured from the time at which an element first became known. Adding
 * an element again does not extend its retention, so that two hosts cannot keep it alive by sending
 * it to each other.
 */
final class ExpiringSet<T extends Comparable<T>> {

  private final long retentionMillis;
  private final long propagationMillis;
  private final Map<T, Long> addedAtMillisByElement = new TreeMap<>();

  ExpiringSet(long retentionMillis, long propagationMillis) {
    this.retentionMillis = retentionMillis;
    this.propagationMillis = propagationMillis;
  }

  /** Adds an element. Returns whether it is new. */
  boolean add(T element, long nowMillis) {
    return add(element, 0, nowMillis);
  }

  /**
   * Adds an element that other hosts have already known for some time. Returns whether it is new;
   * an element older than the retention time is not added.
   */
  boolean add(T element, long ageMillis, long nowMillis) {
    expire(nowMillis);
    long boundedAgeMillis = Math.max(0, ageMillis);
    return boundedAgeMillis < retentionMillis
        && addedAtMillisByElement.putIfAbsent(element, nowMillis - boundedAgeMillis) == null;
  }

  /** Returns the age of each element, in milliseconds. */
  Map<T, Long> ages(long nowMillis) {
    Map<T, Long> ages = new TreeMap<>();
    addedAtMillisByElement.forEach(
        (element, addedAtMillis) -> ages.put(element, nowMillis - addedAtMillis));
    return ages;
  }

  void expire(long nowMillis) {
    addedAtMillisByElement
        .values()
        .removeIf(addedAtMillis -> addedAtMillis + retentionMillis <= nowMillis);
  }

  boolean contains(T element) {
    return addedAtMillisByElement.containsKey(element);
  }

  Set<T> all() {
    return Set.copyOf(addedAtMillisByElement.keySet());
  }

  /** Returns the elements that are to be propagated to other hosts. */
  List<T> elementsToPropagate(long nowMillis) {
    return addedAtMillisByElement.entrySet().stream()
        .filter(entry -> entry.getValue() + propagationMillis > nowMillis)
        .map(Map.Entry::getKey)
        .toList();
  }
}
