package org.lentilhinge.permit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts how many requests of each priority and of each customer were refused in succession since
 * the last one that was served.
 */
final class RefusalRuns {

  /**
   * The number of refusals in succession after which a request precedes all others. One of nine
   * requests is served then, so that nothing starves while more urgent requests alone exceed what
   * the engine can serve. The goal that a less urgent kind is not served more often holds as long
   * as the urgent kind is served more often than that.
   */
  private static final int MAXIMUM_RUN = 8;

  /** The number of customers that are counted; the ones counted first are dropped. */
  private static final int MAXIMUM_CUSTOMERS = 1_024;

  private final Map<Integer, Integer> byPriority = new HashMap<>();

  /** The runs that a request ended when it arrived. */
  private record EndedRuns(int ofPriority, int ofCustomer) {}

  /** The waiting requests that precede all others, by key; one for each run at most. */
  private final Map<String, EndedRuns> due = new HashMap<>();

  private final Map<String, Integer> byCustomer =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
          return size() > MAXIMUM_CUSTOMERS;
        }
      };

  void recordRefusal(QueueEntry entry) {
    byPriority.merge(entry.priorityClass(), 1, Integer::sum);
    entry.standing().ifPresent(standing -> byCustomer.merge(standing.name(), 1, Integer::sum));
  }

  /** Ends the runs of a request that gets a permit. */
  void recordPermit(QueueEntry entry) {
    byPriority.remove(entry.priorityClass());
    entry.standing().ifPresent(standing -> byCustomer.remove(standing.name()));
  }

  /** Begins to serve a request before all others if it is due after a run of refusals. */
  void recordArrival(QueueEntry entry) {
    if (isRunComplete(entry)) {
      due.put(
          entry.key(),
          new EndedRuns(byPriority.getOrDefault(entry.priorityClass(), 0), customerRun(entry)));
      recordPermit(entry);
    }
  }

  private boolean isRunComplete(QueueEntry entry) {
    return byPriority.getOrDefault(entry.priorityClass(), 0) >= MAXIMUM_RUN
        || customerRun(entry) >= MAXIMUM_RUN;
  }

  private int customerRun(QueueEntry entry) {
    return entry.standing().map(standing -> byCustomer.getOrDefault(standing.name(), 0)).orElse(0);
  }

  /** Restores the runs that a request ended when it arrived, if it was due after them. */
  void restore(QueueEntry entry) {
    EndedRuns ended = due.get(entry.key());
    if (ended == null) {
      return;
    }
    byPriority.merge(entry.priorityClass(), ended.ofPriority(), Integer::sum);
    entry
        .standing()
        .ifPresent(standing -> byCustomer.merge(standing.name(), ended.ofCustomer(), Integer::sum));
  }

  /** Forgets a request that has left the queue. */
  void remove(String key) {
    due.remove(key);
  }

  /** Returns whether a request precedes all others. */
  boolean isDue(QueueEntry entry) {
    return !due.isEmpty() && due.containsKey(entry.key());
  }
}
