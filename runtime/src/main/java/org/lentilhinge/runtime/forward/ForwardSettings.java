package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.allowance.AllowanceBounds;
import org.lentilhinge.zone.ZoneTrafficSettings;

/**
 * The settings of a host of the forwarding path.
 *
 * @param host the host's name
 * @param zone the host's availability zone
 * @param region the host's region
 * @param zoneRegions the regions of all zones
 * @param callerAddress the IP address and port for callers
 * @param readyAddress the IP address and port for the load balancer's readiness checks
 * @param readyPath the path of the readiness checks
 * @param peerAddress the IP address and port for other hosts
 * @param peerSecret the secret that all hosts share
 * @param seeds the peer addresses of the hosts that are known at the start
 * @param storeAddress the IP address and port of the published store
 * @param metricsPort the port on the host's address at which metrics are exposed, or 0 for none
 * @param bounds the limits that the operators guarantee to callers and endpoints
 * @param zoneTraffic the terms for traffic between zones, if it is to be planned
 */
public record ForwardSettings(
    String host,
    String zone,
    String region,
    Map<String, String> zoneRegions,
    String callerAddress,
    String readyAddress,
    String readyPath,
    String peerAddress,
    String peerSecret,
    List<String> seeds,
    String storeAddress,
    int metricsPort,
    Bounds bounds,
    Optional<ZoneTrafficSettings> zoneTraffic) {

  /**
   * Limits on time and retries.
   *
   * @param stopMillis the time from the start of a planned stop to its forced end, in milliseconds
   * @param leaseMillis the minimum time between the orders of two hosts to one engine, in
   *     milliseconds
   * @param retryRatio the number of retries that all hosts together may make for each request
   * @param retryExtra the number of additional retries of all hosts together in each window
   * @param retryWindowMillis the window to which both retry limits apply, in milliseconds
   * @param quota what customers may use beyond their quotas at most
   */
  public record Bounds(
      long stopMillis,
      long leaseMillis,
      double retryRatio,
      double retryExtra,
      long retryWindowMillis,
      AllowanceBounds quota) {

    /**
     * Creates limits with the default bounds of customer quotas.
     *
     * @param stopMillis the time of a planned stop, in milliseconds
     * @param leaseMillis the time between the orders of two hosts, in milliseconds
     * @param retryRatio the number of retries for each request
     * @param retryExtra the number of additional retries in each window
     * @param retryWindowMillis the window of both retry limits, in milliseconds
     */
    public Bounds(
        long stopMillis,
        long leaseMillis,
        double retryRatio,
        double retryExtra,
        long retryWindowMillis) {
      this(
          stopMillis,
          leaseMillis,
          retryRatio,
          retryExtra,
          retryWindowMillis,
          AllowanceBounds.DEFAULT);
    }
  }

  /**
   * Makes immutable copies of the collections.
   *
   * @param host the host
   * @param zone the zone
   * @param region the region
   * @param zoneRegions the regions of all zones
   * @param callerAddress the address for callers
   * @param readyAddress the address for readiness checks
   * @param readyPath the path of readiness checks
   * @param peerAddress the address for other hosts
   * @param peerSecret the shared secret
   * @param seeds the seeds
   * @param storeAddress the address of the store
   * @param metricsPort the port of the metrics
   * @param bounds the limits
   * @param zoneTraffic the terms for traffic between zones
   */
  public ForwardSettings {
    zoneRegions = Map.copyOf(zoneRegions);
    seeds = List.copyOf(seeds);
  }

  /**
   * Returns these settings with terms for traffic between zones.
   *
   * @param terms the terms
   * @return the settings
   */
  public ForwardSettings withZoneTraffic(ZoneTrafficSettings terms) {
    return new ForwardSettings(
        host,
        zone,
        region,
        zoneRegions,
        callerAddress,
        readyAddress,
        readyPath,
        peerAddress,
        peerSecret,
        seeds,
        storeAddress,
        metricsPort,
        bounds,
        Optional.of(terms));
  }
}
