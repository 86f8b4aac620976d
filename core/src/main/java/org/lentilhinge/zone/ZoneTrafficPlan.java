package org.lentilhinge.zone;

import java.util.List;
import org.lentilhinge.lease.RendezvousHash;

/** How much of a service's demand may leave a zone for each other zone, and at which cost. */
public final class ZoneTrafficPlan {

  private static final double UNIT = 0x1.0p-53;
  private static final int UNUSED_BITS = 11;

  /**
   * Mixed into request hashes, so that the requests that may leave are independent of other choices
   * by the same hash.
   */
  private static final long SALT = 0x9e3779b97f4a7c15L;

  /** Mixed into the hashes of requests that were refused. */
  private static final long REFUSED_SALT = 0xd1b54a32d192ed03L;

  private final String zone;
  private final boolean restricted;
  private final List<Share> shares;
  private final ZonePrices prices;

  /**
   * The part of a zone's requests that may leave for one other zone.
   *
   * @param zone the other zone
   * @param share the part of the requests
   * @param roomHere the spare capacity of the own zone, in engines
   * @param roomThere the spare capacity of the other zone, in engines
   * @param refusedShare the part of the requests that an engine of the own zone has refused
   */
  public record Share(
      String zone, double share, double roomHere, double roomThere, double refusedShare) {}

  /**
   * Creates a plan.
   *
   * @param zone the zone that requests leave
   * @param restricted whether only the shares may leave; otherwise all requests may
   * @param shares the shares, always in the same order of zones
   * @param prices the costs of the zones
   */
  ZoneTrafficPlan(String zone, boolean restricted, List<Share> shares, ZonePrices prices) {
    this.zone = zone;
    this.restricted = restricted;
    this.shares = List.copyOf(shares);
    this.prices = prices;
  }

  /**
   * Returns a plan that leaves the choice to the costs.
   *
   * @param zone the zone of the host
   * @param prices the costs of the zones
   * @return a plan by which all requests may leave
   */
  public static ZoneTrafficPlan unrestricted(String zone, ZonePrices prices) {
    return new ZoneTrafficPlan(zone, false, List.of(), prices);
  }

  /**
   * Returns the cost of a zone.
   *
   * @param targetZone the zone
   * @param bytes the bytes that the request is expected to transfer
   * @return the cost, in milliseconds
   */
  public double costMillis(String targetZone, long bytes) {
    return prices.costMillis(targetZone, bytes);
  }

  private static double position(long bits) {
    return (RendezvousHash.mix(bits) >>> UNUSED_BITS) * UNIT;
  }

  /**
   * Returns whether a request that the own zone can serve may be sent to a zone. The answer depends
   * on the hash alone while the shares stay the same.
   *
   * @param targetZone the zone
   * @param requestHash a number that differs from request to request
   * @return whether the request may be sent there
   */
  public boolean mayLeave(String targetZone, long requestHash) {
    if (!restricted || targetZone.equals(zone)) {
      return true;
    }
    double position = position(requestHash ^ SALT);
    for (Share share : shares) {
      if (position < share.share()) {
        return share.zone().equals(targetZone);
      }
      position -= share.share();
    }
    return false;
  }

  /**
   * Returns whether a request that an engine of its own zone has refused may be sent to a zone,
   * besides the planned shares. Even if all requests were refused, those that leave would not
   * exceed what the receivers have left beside all shares.
   *
   * @param targetZone the zone
   * @param requestHash a number that differs from request to request
   * @return whether the request may be sent there
   */
  public boolean mayLeaveRefused(String targetZone, long requestHash) {
    double position = position(requestHash ^ REFUSED_SALT);
    for (Share share : shares) {
      if (position < share.refusedShare()) {
        return share.zone().equals(targetZone);
      }
      position -= share.refusedShare();
    }
    return false;
  }

  /**
   * Returns the zone that requests leave.
   *
   * @return the zone of this host
   */
  public String zone() {
    return zone;
  }

  /**
   * Returns the shares of the requests that may leave.
   *
   * @return the shares for all other zones, most of them 0, in the order of the zones' names
   */
  public List<Share> shares() {
    return shares;
  }
}
