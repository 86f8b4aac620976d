package org.lentilhinge.permit;

import java.util.List;

/**
 * The statuses of engines whose schedulers one host runs.
 *
 * @param host the host that runs the schedulers
 * @param statuses the statuses
 * @param counts the order counts of these engines
 */
public record OwnerStatuses(String host, List<EngineStatus> statuses, List<OrderCount> counts) {

  /**
   * Copies the lists.
   *
   * @param host the host
   * @param statuses the statuses
   * @param counts the counts
   */
  public OwnerStatuses {
    statuses = List.copyOf(statuses);
    counts = List.copyOf(counts);
  }
}
