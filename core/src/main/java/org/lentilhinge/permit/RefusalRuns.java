package org.lentilhinge.permit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts how many requests of each priority and of each customer were refused in succession since
 * the last one that got a permit.
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

  private final Map<Integer, Integer> byPriority = new LinkedHashMap<>();
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

  void recordPermit(QueueEntry entry) {
    byPriority.remove(entry.priorityClass());
    entry.standing().ifPresent(standing -> byCustomer.remove(standing.name()));
  }

  /** Returns whether a request may not be refused in favor of another one. */
  boolean isDue(QueueEntry entry) {
    return byPriority.getOrDefault(entry.priorityClass(), 0) >= MAXIMUM_RUN
        || entry
            .standing()
            .filter(standing -> byCustomer.getOrDefault(standing.name(), 0) >= MAXIMUM_RUN)
            .isPresent();
  }
}
