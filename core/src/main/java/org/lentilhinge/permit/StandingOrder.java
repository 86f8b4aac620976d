package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The order of requests whose customers are declared: by priority, with aging, then by the recent
 * use of the customer, then by target time. The least urgent request of the customer that is
 * furthest above its share is refused. A request without a customer counts as one with a use of 1.
 */
final class StandingOrder implements RequestOrder {

  /** The number of levels of priority that a request gains within its target time. */
  private static final int LEVELS_PER_TARGET = 3;

  /**
   * The step in which uses are compared. Smaller differences are noise: the use of a customer with
   * two requests per second varies by a third within the 4 s over which it is measured.
   */
  private static final double USE_STEP = 0.5;

  private static final long MEAN_STEP = Math.round(1 / USE_STEP);

  /** The step of uses above which a customer is above its share: a use of 1.5 or more. */
  private static final long ABOVE_SHARE_STEP = 3;

  private static final Comparator<Ranked> BY_URGENCY = StandingOrder::compareUrgency;
  private static final Comparator<Ranked> SORT = StandingOrder::compare;

  private final RefusalRuns runs = new RefusalRuns();

  /**
   * A request with what decides about it at one time.
   *
   * @param group 0 if it is due after many refusals, 1 if it can meet its target, else 2
   * @param priority its priority, less the levels gained by waiting
   * @param routePriority the priority of its route, less the same levels
   * @param useStep the customer's use, in steps
   * @param orderAtMillis the target time, less the time since its caller first sent it
   */
  private record Ranked(
      QueueEntry entry,
      int group,
      int priority,
      int routePriority,
      long useStep,
      long orderAtMillis) {}

  private static int compareUrgency(Ranked first, Ranked second) {
    if (first.group != second.group) {
      return Integer.compare(first.group, second.group);
    }
    return first.priority != second.priority
        ? Integer.compare(first.priority, second.priority)
        : Integer.compare(first.routePriority, second.routePriority);
  }

  private static int compare(Ranked first, Ranked second) {
    int urgency = compareUrgency(first, second);
    if (urgency != 0) {
      return urgency;
    }
    return first.useStep != second.useStep
        ? Long.compare(first.useStep, second.useStep)
        : Long.compare(first.orderAtMillis, second.orderAtMillis);
  }

  private Ranked rank(QueueEntry entry, long nowMillis) {
    int group = runs.isDue(entry) ? 0 : entry.canMeetTarget(nowMillis) ? 1 : 2;
    int levels = levels(entry, nowMillis);
    int priority = entry.request().priority();
    CustomerStanding standing = entry.standing().orElse(null);
    if (standing == null) {
      return new Ranked(
          entry, group, priority - levels, priority - levels, MEAN_STEP, entry.targetAtMillis());
    }
    return new Ranked(
        entry,
        group,
        priority - levels,
        standing.routePriority() - levels,
        Math.round(standing.relativeUse() / USE_STEP),
        entry.targetAtMillis() - standing.elapsedMillis());
  }

  private static int levels(QueueEntry entry, long nowMillis) {
    long targetMillis = Math.max(1, entry.request().remainingTargetMillis());
    long levels = LEVELS_PER_TARGET * entry.waitedMillis(nowMillis) / targetMillis;
    return (int) Math.min(LEVELS_PER_TARGET, levels);
  }

  private List<Ranked> rankAll(Collection<QueueEntry> entries, long nowMillis) {
    List<Ranked> ranked = new ArrayList<>(entries.size());
    entries.forEach(entry -> ranked.add(rank(entry, nowMillis)));
    return ranked;
  }

  @Override
  public List<QueueEntry> sort(Collection<QueueEntry> entries, long nowMillis) {
    List<Ranked> ranked = rankAll(entries, nowMillis);
    ranked.sort(SORT);
    List<QueueEntry> sorted = new ArrayList<>(ranked.size());
    ranked.forEach(each -> sorted.add(each.entry()));
    return sorted;
  }

  /**
   * Selects the least urgent request of the customer furthest above its share. If no customer is
   * above its share, all requests are candidates. Among equally urgent ones, that of the customer
   * with the higher use is refused, then that of a customer with twice as many waiting requests: a
   * burst appears in the queue before it appears in the use, which is up to 0.5 s old.
   */
  @Override
  public QueueEntry selectRefused(List<QueueEntry> candidates, QueueEntry added, long nowMillis) {
    List<Ranked> ranked = rankAll(candidates, nowMillis);
    ranked.removeIf(each -> each.group() == 0);
    Map<String, Long> steps = new HashMap<>();
    Map<String, Integer> counts = new HashMap<>();
    for (Ranked each : ranked) {
      // Two hosts may state different uses of a customer; the higher one is the later one when a
      // burst begins.
      steps.merge(customer(each), each.useStep(), Math::max);
      counts.merge(customer(each), 1, Integer::sum);
    }
    long highest = steps.values().stream().mapToLong(Long::longValue).max().orElse(0);
    if (highest >= ABOVE_SHARE_STEP) {
      ranked.removeIf(each -> steps.get(customer(each)) < highest);
    }
    return ranked.stream()
        .max(
            BY_URGENCY
                .thenComparingLong(each -> steps.get(customer(each)))
                .thenComparingInt(each -> magnitude(counts.get(customer(each))))
                .thenComparingLong(Ranked::orderAtMillis)
                .thenComparingLong(each -> each.entry().arrivedAtMillis()))
        .map(Ranked::entry)
        .orElse(added);
  }

  private static String customer(Ranked ranked) {
    return ranked.entry().standing().map(CustomerStanding::name).orElse("");
  }

  /** Returns the logarithm of a count to the base 2, rounded down. */
  private static int magnitude(int count) {
    return Integer.SIZE - 1 - Integer.numberOfLeadingZeros(count);
  }

  void recordArrival(QueueEntry entry) {
    runs.recordArrival(entry);
  }

  void remove(String key) {
    runs.remove(key);
  }

  void recordRefusal(QueueEntry entry) {
    runs.recordRefusal(entry);
  }

  void restoreRuns(QueueEntry entry) {
    runs.restore(entry);
  }

  void recordPermit(QueueEntry entry) {
    runs.recordPermit(entry);
  }
}
