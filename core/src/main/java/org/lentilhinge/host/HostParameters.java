package org.lentilhinge.host;

import org.lentilhinge.lease.LeaseSettings;
import org.lentilhinge.membership.MembershipSettings;
import org.lentilhinge.placement.PlacementSettings;
import org.lentilhinge.routing.LinkCosts;

/**
 * The parameters of an entry host, which must be equal on all hosts.
 *
 * @param membership the heartbeat intervals
 * @param lease the lease intervals
 * @param placement the settings of adapter placement
 * @param linkCosts the costs of traffic on the link between regions
 * @param maximumQueued the maximum number of waiting requests
 * @param maximumTickGapMillis the longest regular gap between two ticks, in milliseconds; a longer
 *     gap counts as a pause
 */
public record HostParameters(
    MembershipSettings membership,
    LeaseSettings lease,
    PlacementSettings placement,
    LinkCosts linkCosts,
    int maximumQueued,
    long maximumTickGapMillis) {

  private static final int MAXIMUM_QUEUED = 2_000;
  private static final long MAXIMUM_TICK_GAP_MILLIS = 2_000;

  /**
   * Returns the default parameters.
   *
   * @return the parameters
   */
  public static HostParameters defaults() {
    return new HostParameters(
        MembershipSettings.defaults(),
        LeaseSettings.defaults(),
        PlacementSettings.DEFAULTS,
        LinkCosts.DEFAULTS,
        MAXIMUM_QUEUED,
        MAXIMUM_TICK_GAP_MILLIS);
  }
}
