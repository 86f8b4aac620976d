package org.lentilhinge.runtime.settings;

import java.util.List;
import org.lentilhinge.membership.ListedHost;

/**
 * The settings of one entry host.
 *
 * @param host the identity and location of the host
 * @param gateway the address for callers
 * @param peer the addresses and credentials of the links to other entry hosts
 * @param seeds the entry hosts known at startup
 * @param platform the locations of the platform's services
 * @param limits the limits on callers and peers
 * @param stop the settings of a planned stop
 * @param log the format and level of the log
 */
public record Settings(
    HostSettings host,
    GatewaySettings gateway,
    PeerSettings peer,
    List<ListedHost> seeds,
    PlatformSettings platform,
    LimitSettings limits,
    StopSettings stop,
    LogSettings log) {

  /**
   * Makes an immutable copy of the seeds.
   *
   * @param host the host
   * @param gateway the gateway
   * @param peer the peer link
   * @param seeds the seeds
   * @param platform the platform
   * @param limits the limits
   * @param stop the planned stop
   * @param log the log
   */
  public Settings {
    seeds = List.copyOf(seeds);
  }
}
