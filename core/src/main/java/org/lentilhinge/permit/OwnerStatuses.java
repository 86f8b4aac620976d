package org.lentilhinge.permit;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.allowance.AllowanceReport;

/**
 * The statuses of engines whose schedulers one host runs.
 *
 * @param host the host that runs the schedulers
 * @param statuses the statuses
 * @param counts the order counts of these engines
 * @param use what the customers of the host use; empty if it does not state it
 */
public record OwnerStatuses(
    String host,
    List<EngineStatus> statuses,
    List<OrderCount> counts,
    Optional<AllowanceReport> use) {

  /**
   * Copies the lists.
   *
   * @param host the host
   * @param statuses the statuses
   * @param counts the counts
   * @param use the use
   */
  public OwnerStatuses {
    statuses = List.copyOf(statuses);
    counts = List.copyOf(counts);
  }

  /**
   * Creates statuses without a statement of use.
   *
   * @param host the host
   * @param statuses the statuses
   * @param counts the counts
   */
  public OwnerStatuses(String host, List<EngineStatus> statuses, List<OrderCount> counts) {
    this(host, statuses, counts, Optional.empty());
  }
}
