package org.lentilhinge.routing;

import java.util.Optional;
import org.lentilhinge.configuration.Policy;
import org.lentilhinge.identity.RegionId;

/**
 * The parameters of the link between regions, which is billed by volume.
 *
 * @param storeRegion the region of the weight store, if known
 * @param bytesPerSecond the bandwidth of the link in bytes per second
 * @param requestBytes the number of bytes that one request and its response transfer over the link
 * @param residencySeconds the mean time that a loaded version stays resident, in seconds
 */
public record LinkCosts(
    Optional<RegionId> storeRegion,
    long bytesPerSecond,
    long requestBytes,
    double residencySeconds) {

  /** The default parameters. */
  public static final LinkCosts DEFAULTS =
      new LinkCosts(Optional.empty(), 2_500_000, 60_000, 28_800);

  /**
   * Returns how long the load of an adapter occupies the link.
   *
   * @param adapterBytes the size of the adapter in bytes
   * @return the time in milliseconds
   */
  public double transferMillis(long adapterBytes) {
    return adapterBytes * 1000.0 / bytesPerSecond;
  }

  /**
   * Returns the request rate from which loading an adapter across the link costs less than sending
   * its requests to the other region. A request that is sent to the other region also waits for the
   * link, so the weight of its bytes rises with the policy's weight of load stalls.
   *
   * @param adapterBytes the size of the adapter in bytes
   * @param policy the weights of load stalls and batch efficiency
   * @return the rate in requests per second
   */
  public double breakEvenRequestsPerSecond(long adapterBytes, Policy policy) {
    double weighted = requestBytes * (1 + policy.stallWeight() / policy.batchWeight());
    return adapterBytes / weighted / residencySeconds;
  }
}
