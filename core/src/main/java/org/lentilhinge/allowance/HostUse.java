package org.lentilhinge.allowance;

import java.util.HashMap;
import java.util.Map;

/** The counters of another host, as of its latest report. */
final class HostUse {

  /**
   * The silence after which the increase of a counter is not added to the debt, in milliseconds. It
   * was admitted from another part of the quota, or long ago.
   */
  private static final long SILENCE_MILLIS = 1_000;

  private final Map<String, Counters> counters = new HashMap<>();
  private long life;
  private long formerLife;
  private long heardAtMillis;

  /**
   * The latest counters of a customer.
   *
   * @param use the reported use
   * @param addedUnits the units added to the debt since the first of these reports, without those
   *     refunded; no more can be refunded, because what was admitted before was not added
   */
  private record Counters(AllowanceUse use, double addedUnits) {}

  /**
   * What was counted since the last report.
   *
   * @param units the units admitted, without those refunded
   * @param requested the units of all requests
   * @param refused the units of the requests that were not admitted
   */
  record Increase(double units, double requested, double refused) {}

  HostUse(long life, long nowMillis) {
    this.life = life;
    this.formerLife = life;
    this.heardAtMillis = nowMillis;
  }

  /** Returns whether a report is used; one of an earlier life may have been delayed at a relay. */
  boolean accept(long reportedLife, long nowMillis) {
    if (reportedLife == formerLife && reportedLife != life) {
      return false;
    }
    if (reportedLife != life) {
      formerLife = life;
      life = reportedLife;
      counters.clear();
    } else if (nowMillis - heardAtMillis > SILENCE_MILLIS) {
      counters.clear();
    }
    heardAtMillis = nowMillis;
    return true;
  }

  /**
   * Returns what was counted since the last report.
   *
   * @param use the reported use
   * @param firstFraction the fraction of the units of the last second that counts if no earlier
   *     report is known
   */
  Increase increase(AllowanceUse use, double firstFraction) {
    Counters last = counters.get(use.customer());
    if (last == null) {
      double units = Math.min(use.admitted() - use.refunded(), use.lastSecond()) * firstFraction;
      counters.put(use.customer(), new Counters(use, units));
      return new Increase(units, units, 0);
    }
    AllowanceUse former = last.use();
    // Two relays pass on the same reports, the slower one after a newer report of the other one.
    long admitted = Math.max(former.admitted(), use.admitted());
    long refunded = Math.max(former.refunded(), use.refunded());
    long requested = Math.max(former.requested(), use.requested());
    long admittedSince = admitted - former.admitted();
    long requestedSince = requested - former.requested();
    double units = Math.max(-last.addedUnits(), admittedSince - (refunded - former.refunded()));
    AllowanceUse latest = new AllowanceUse(use.customer(), admitted, refunded, requested, 0);
    counters.put(use.customer(), new Counters(latest, last.addedUnits() + units));
    return new Increase(units, requestedSince, Math.max(0, requestedSince - admittedSince));
  }

  /** Forgets the counters of a customer; its next report counts as the first one. */
  void forget(String customer) {
    counters.remove(customer);
  }

  long heardAtMillis() {
    return heardAtMillis;
  }
}
