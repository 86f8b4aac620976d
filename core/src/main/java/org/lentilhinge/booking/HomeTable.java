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
final class HomeTable {

  private final BookingLimits limits;
  private final Map<BookingKey, HomeEntry> entries = new LinkedHashMap<>();
  private final Map<AttemptId, HomeEntry> attempts = new HashMap<>();
  private int running;

  HomeTable(BookingLimits limits) {
    this.limits = limits;
  }

  Optional<HomeEntry> find(BookingKey key) {
    return Optional.ofNullable(entries.get(key));
  }

  Optional<HomeEntry> findByAttempt(AttemptId attempt) {
    return Optional.ofNullable(attempts.get(attempt));
  }

  boolean isFull() {
    return entries.size() >= limits.maximumKeys();
  }

  int size() {
    return entries.size();
  }

  int running() {
    return running;
  }

  HomeEntry create(BookingKey key, long fingerprint, long nowMillis) {
    HomeEntry entry = new HomeEntry(key, fingerprint, nowMillis);
    entries.put(key, entry);
    return entry;
  }

  void runStarted(HomeEntry entry, HomeEntry.HomeRun run) {
    entry.start(run);
    running++;
  }

  void runEnded() {
    running--;
  }

  void attemptStarted(HomeEntry entry, AttemptId attempt) {
    entry.attempt().ifPresent(attempts::remove);
    entry.attemptStarted(attempt);
    attempts.put(attempt, entry);
  }

  /** Removes the attempt of an entry whose state is final. */
  void attemptSettled(HomeEntry entry) {
    entry.attempt().ifPresent(attempts::remove);
    entry.attemptEnded();
  }

  List<HomeEntry> overdue(long nowMillis) {
    List<HomeEntry> overdue = new ArrayList<>();
    if (running == 0) {
      return overdue;
    }
    for (HomeEntry entry : attempts.values()) {
      if (entry.isRunning() && entry.run().deadlineMillis() <= nowMillis) {
        overdue.add(entry);
      }
    }
    return overdue;
  }

  /** Evicts the keys whose retention has passed, the oldest first. */
  void expire(long nowMillis) {
    Iterator<HomeEntry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      HomeEntry entry = oldest.next();
      if (entry.createdMillis() + limits.retentionMillis() > nowMillis || entry.isRunning()) {
        return;
      }
      entry.attempt().ifPresent(attempts::remove);
      oldest.remove();
    }
  }

  /** Adds an entry that was handed over, unless this table has a more definite state of the key. */
  void merge(BookingEntry handed, long nowMillis) {
    HomeEntry known = entries.get(handed.key());
    if (known == null || known.state() == BookingState.UNKNOWN && !known.isRunning()) {
      entries.put(handed.key(), HomeEntry.of(handed, nowMillis));
    }
  }

  List<BookingEntry> handed(long nowMillis) {
    return entries.values().stream().map(entry -> entry.handed(nowMillis)).toList();
  }
}
