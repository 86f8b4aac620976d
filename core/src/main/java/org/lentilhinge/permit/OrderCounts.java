package org.lentilhinge.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Stores, for each incarnation of an engine, the highest count of accepted orders that any host has
 * read and the earliest time at which it was read. A later reading of the same count proves that
 * the engine accepted no order in between, whichever host made the first reading.
 */
public final class OrderCounts {

  private final Map<String, Reading> counts = new HashMap<>();

  private record Reading(long acceptedOrders, long sinceMillis) {}

  /** Creates an empty store. */
  public OrderCounts() {}

  /**
   * Records a reading of a count.
   *
   * @param incarnation the incarnation of the engine
   * @param orders the number of accepted orders
   * @param sinceMillis the time at which the engine is known to have had that count, in
   *     milliseconds
   * @return whether the count is higher than all that were known
   */
  public boolean recordCount(String incarnation, long orders, long sinceMillis) {
    Reading former = counts.get(incarnation);
    if (former == null || former.acceptedOrders() < orders) {
      counts.put(incarnation, new Reading(orders, sinceMillis));
      return true;
    }
    if (former.acceptedOrders() == orders) {
      counts.put(incarnation, new Reading(orders, Math.min(former.sinceMillis(), sinceMillis)));
    }
    return false;
  }

  /**
   * Returns the time since which a count is known to be unchanged.
   *
   * @param incarnation the incarnation of the engine
   * @param orders the count that was just read
   * @return the earliest time at which that count was read, or empty if it is not the highest known
   *     count
   */
  public OptionalLong unchangedSince(String incarnation, long orders) {
    Reading highest = counts.get(incarnation);
    return highest == null || highest.acceptedOrders() != orders
        ? OptionalLong.empty()
        : OptionalLong.of(highest.sinceMillis());
  }

  /**
   * Returns the highest known count of an engine, to be sent to other hosts.
   *
   * @param incarnation the incarnation of the engine
   * @param nowMillis the current time, in milliseconds
   * @return the highest count, or empty if none was read
   */
  public Optional<OrderCount> highestCount(String incarnation, long nowMillis) {
    return Optional.ofNullable(counts.get(incarnation))
        .map(
            highest ->
                new OrderCount(
                    incarnation, highest.acceptedOrders(), nowMillis - highest.sinceMillis()));
  }

  /**
   * Removes the count of an engine.
   *
   * @param incarnation the incarnation that has ended
   */
  public void removeEngine(String incarnation) {
    counts.remove(incarnation);
  }
}
