package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.identity.AttemptId;

/** The keys that a partition owner records, limited in number and in time. */
final class BookingTable {

  private final BookingLimits limits;
  private final Map<BookingKey, TableEntry> entries = new LinkedHashMap<>();
  private final Map<AttemptId, TableEntry> entriesByAttempt = new HashMap<>();
  private int runningCalls;

  BookingTable(BookingLimits limits) {
    this.limits = limits;
  }

  Optional<TableEntry> find(BookingKey key) {
    return Optional.ofNullable(entries.get(key));
  }

  Optional<TableEntry> findByAttempt(AttemptId attempt) {
    return Optional.ofNullable(entriesByAttempt.get(attempt));
  }

  boolean isFull() {
    return entries.size() >= limits.maximumKeys();
  }

  int size() {
    return entries.size();
  }

  int runningCalls() {
    return runningCalls;
  }

  TableEntry create(BookingKey key, long fingerprint, long nowMillis) {
    TableEntry entry = new TableEntry(key, fingerprint, nowMillis);
    entries.put(key, entry);
    return entry;
  }

  void startRun(TableEntry entry, TableEntry.RunningCall run) {
    entry.start(run);
    runningCalls++;
  }

  void endRun() {
    runningCalls--;
  }

  void startAttempt(TableEntry entry, AttemptId attempt) {
    entry.attempt().ifPresent(entriesByAttempt::remove);
    entry.recordAttempt(attempt);
    entriesByAttempt.put(attempt, entry);
  }

  /** Removes the attempt of an entry whose state is final. */
  void removeAttempt(TableEntry entry) {
    entry.attempt().ifPresent(entriesByAttempt::remove);
    entry.clearAttempt();
  }

  List<TableEntry> overdue(long nowMillis) {
    List<TableEntry> overdue = new ArrayList<>();
    if (runningCalls == 0) {
      return overdue;
    }
    for (TableEntry entry : entriesByAttempt.values()) {
      if (entry.isRunning() && entry.run().deadlineAtMillis() <= nowMillis) {
        overdue.add(entry);
      }
    }
    return overdue;
  }

  /** Evicts the keys whose retention has passed, the oldest first. */
  void evictExpired(long nowMillis) {
    Iterator<TableEntry> iterator = entries.values().iterator();
    while (iterator.hasNext()) {
      TableEntry entry = iterator.next();
      if (entry.createdAtMillis() + limits.retentionMillis() > nowMillis || entry.isRunning()) {
        return;
      }
      entry.attempt().ifPresent(entriesByAttempt::remove);
      iterator.remove();
    }
  }

  /**
   * Adds an entry that was handed over, unless this table records a definite state or a running
   * call of the key.
   */
  void merge(BookingEntry received, long nowMillis) {
    TableEntry known = entries.get(received.key());
    if (known == null || known.state() == BookingState.UNKNOWN && !known.isRunning()) {
      entries.put(received.key(), TableEntry.of(received, nowMillis));
    }
  }

  List<BookingEntry> toBookingEntries(long nowMillis) {
    return entries.values().stream().map(entry -> entry.toBookingEntry(nowMillis)).toList();
  }
}
