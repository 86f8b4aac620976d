package org.lentilhinge.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Keeps, for each life of an engine, the highest count of accepted orders that any host saw and the
 * earliest time at which it was seen. A later reading of the same count proves that no order was
 * accepted in between, whoever saw it first.
 */
public final class OrderCounts {

  private final Map<String, Seen> counts = new HashMap<>();

  private record Seen(long orders, long sinceMillis) {}

  /** Makes counts of no engine. */
  public OrderCounts() {}

  /**
   * Takes a count.
   *
   * @param life the life of the engine
   * @param orders the count of accepted orders
   * @param sinceMillis a time at which the engine had that count already
   */
  public void seen(String life, long orders, long sinceMillis) {
    Seen former = counts.get(life);
    if (former == null || former.orders() < orders) {
      counts.put(life, new Seen(orders, sinceMillis));
    } else if (former.orders() == orders) {
      counts.put(life, new Seen(orders, Math.min(former.sinceMillis(), sinceMillis)));
    }
  }

  /**
   * Finds since when a count is known to stand.
   *
   * @param life the life of the engine
   * @param orders the count that was read now
   * @return the earliest time at which that count was seen, or empty if it is no known count
   */
  public OptionalLong since(String life, long orders) {
    Seen seen = counts.get(life);
    return seen == null || seen.orders() != orders
        ? OptionalLong.empty()
        : OptionalLong.of(seen.sinceMillis());
  }

  /**
   * Describes what is known of an engine for other hosts.
   *
   * @param life the life of the engine
   * @param nowMillis the time
   * @return the highest count, or empty if none was seen
   */
  public Optional<OrderCount> newest(String life, long nowMillis) {
    return Optional.ofNullable(counts.get(life))
        .map(seen -> new OrderCount(life, seen.orders(), nowMillis - seen.sinceMillis()));
  }

  /**
   * Forgets an engine.
   *
   * @param life the life that is gone
   */
  public void forget(String life) {
    counts.remove(life);
  }
}
