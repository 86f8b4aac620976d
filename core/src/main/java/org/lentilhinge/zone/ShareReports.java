package org.lentilhinge.zone;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Selects the changes of shares that are written to the log, for one service. */
public final class ShareReports {

  /** The change of a share from which on it is reported. */
  private static final double REPORTED_CHANGE = 0.1;

  /** The minimum time between two reports about the same zone, in milliseconds. */
  private static final long INTERVAL_MILLIS = 1_000;

  private static final Reported NOTHING = new Reported(0, Long.MIN_VALUE / 2);

  private final Map<String, Reported> reported = new HashMap<>();

  /** Creates a state in which nothing was reported and all shares were 0. */
  public ShareReports() {}

  private record Reported(double share, long atMillis) {}

  /**
   * Returns the shares to report.
   *
   * @param plan the current plan
   * @param nowMillis the current time, in milliseconds
   * @return the shares that changed by more than a tenth or became 0 since they were reported
   */
  public List<ZoneTrafficPlan.Share> changes(ZoneTrafficPlan plan, long nowMillis) {
    List<ZoneTrafficPlan.Share> changes = new ArrayList<>();
    for (ZoneTrafficPlan.Share share : plan.shares()) {
      Reported former = reported.getOrDefault(share.zone(), NOTHING);
      boolean ended = share.share() == 0 && former.share > 0;
      boolean changed = ended || Math.abs(share.share() - former.share) > REPORTED_CHANGE;
      if (changed && nowMillis - former.atMillis >= INTERVAL_MILLIS) {
        reported.put(share.zone(), new Reported(share.share(), nowMillis));
        changes.add(share);
      }
    }
    return changes;
  }
}
