package org.lentilhinge.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A set whose elements expire after a retention time, and are propagated to other hosts for a time
 * that is at most as long. Both times count from when an element first became known. Adding an
 * element again does not extend its retention, so that two hosts cannot keep it alive by sending it
 * to each other.
 */
final class ExpiringSet<T extends Comparable<T>> {

  private final long memoryMillis;
  private final long spreadMillis;
  private final Map<T, Long> learnedMillis = new TreeMap<>();

  ExpiringSet(long retentionMillis, long propagationMillis) {
    this.memoryMillis = retentionMillis;
    this.spreadMillis = propagationMillis;
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
    long age = Math.max(0, ageMillis);
    return age < memoryMillis && learnedMillis.putIfAbsent(element, nowMillis - age) == null;
  }

  /** Returns the age of each element, in milliseconds. */
  Map<T, Long> ages(long nowMillis) {
    Map<T, Long> ages = new TreeMap<>();
    learnedMillis.forEach((element, addedAtMillis) -> ages.put(element, nowMillis - addedAtMillis));
    return ages;
  }

  void expire(long nowMillis) {
    learnedMillis.values().removeIf(addedAtMillis -> addedAtMillis + memoryMillis <= nowMillis);
  }

  boolean contains(T element) {
    return learnedMillis.containsKey(element);
  }

  Set<T> all() {
    return Set.copyOf(learnedMillis.keySet());
  }

  /** Returns the elements that are to be propagated to other hosts. */
  List<T> spreading(long nowMillis) {
    return learnedMillis.entrySet().stream()
        .filter(entry -> entry.getValue() + spreadMillis > nowMillis)
        .map(Map.Entry::getKey)
        .toList();
  }
}
