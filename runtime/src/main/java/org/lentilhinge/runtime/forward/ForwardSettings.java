package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Map;

/**
 * The settings of a host of the forwarding path.
 *
 * @param host the host's name
 * @param zone its availability zone
 * @param region its region
 * @param zoneRegions the regions of all zones
 * @param callerAddress the IP number and port for callers
 * @param readyAddress the IP number and port for the balancer's question whether it is ready
 * @param readyPath the path of that question
 * @param peerAddress the IP number and port for other hosts
 * @param peerSecret the secret that all hosts share
 * @param seeds the peer addresses of hosts known from the start
 * @param storeAddress the IP number and port of the published store
 * @param metricsPort the port of the metrics on the host's address, or 0 for none
 * @param bounds the bounds that operators promise to callers and endpoints
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
    Bounds bounds) {

  /**
   * Bounds of time and retries.
   *
   * @param stopMillis the time between a planned stop and its forced end
   * @param leaseMillis the shortest time between the orders of two hosts to one engine
   * @param retryRatio the retries that all hosts may make for each request
   * @param retryExtra the retries that all hosts may make besides, in each window
   * @param retryWindowMillis the window of both
   */
  public record Bounds(
      long stopMillis,
      long leaseMillis,
      double retryRatio,
      int retryExtra,
      long retryWindowMillis) {}

  /**
   * Copies the collections.
   *
   * @param host the host
   * @param zone the zone
   * @param region the region
   * @param zoneRegions the regions of all zones
   * @param callerAddress the address for callers
   * @param readyAddress the address for the balancer
   * @param readyPath the path of the balancer's question
   * @param peerAddress the address for hosts
   * @param peerSecret the secret
   * @param seeds the seeds
   * @param storeAddress the store
   * @param metricsPort the port of the metrics
   * @param bounds the bounds
   */
  public ForwardSettings {
    zoneRegions = Map.copyOf(zoneRegions);
    seeds = List.copyOf(seeds);
  }
}
