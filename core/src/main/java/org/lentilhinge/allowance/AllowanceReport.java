package org.lentilhinge.allowance;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A host's report of the use of its customers, which also shows that the host can be heard.
 *
 * @param life identifies the process of the host; its counters start at 0 in each life
 * @param hosts the number of hosts that share quotas, as far as the host knows
 * @param uses the use of the customers whose use has changed, and at times of all customers
 */
public record AllowanceReport(long life, int hosts, List<AllowanceUse> uses) {

  /**
   * Copies the list.
   *
   * @param life the life
   * @param hosts the number of hosts
   * @param uses the uses
   */
  public AllowanceReport {
    uses = List.copyOf(uses);
  }

  /**
   * Adds this report to an earlier one of the same host that was not passed on yet.
   *
   * @param former the earlier report
   * @return a report of all customers of both, with their latest use
   */
  public AllowanceReport addedTo(AllowanceReport former) {
    if (former.life != life) {
      return this;
    }
    Map<String, AllowanceUse> latest = new LinkedHashMap<>();
    former.uses.forEach(use -> latest.put(use.customer(), use));
    uses.forEach(use -> latest.put(use.customer(), use));
    return new AllowanceReport(life, hosts, List.copyOf(latest.values()));
  }
}
