package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * The order of requests that state no customer: those that can still meet their target come first,
 * in the order of these targets. The request that arrived last is refused.
 */
final class TargetOrder implements RequestOrder {

  @Override
  public List<QueueEntry> sort(Collection<QueueEntry> entries, long nowMillis) {
    List<QueueEntry> sorted = new ArrayList<>(entries);
    sorted.sort(
        Comparator.<QueueEntry>comparingInt(entry -> entry.canMeetTarget(nowMillis) ? 0 : 1)
            .thenComparingLong(QueueEntry::targetAtMillis));
    return sorted;
  }

  @Override
  public QueueEntry selectRefused(List<QueueEntry> candidates, QueueEntry added, long nowMillis) {
    return added;
  }
}
