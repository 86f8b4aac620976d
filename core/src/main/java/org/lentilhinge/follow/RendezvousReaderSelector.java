package org.lentilhinge.follow;

import java.util.Set;
import org.lentilhinge.identity.HostId;

/**
 * Selects the readers by rendezvous hashing: the hosts with the greatest digests read. When a host
 * is lost, only its own role moves to another host.
 */
public final class RendezvousReaderSelector implements ReaderSelector {

  private static final String SALT = "configuration-reader/";

  private final int readersPerZone;

  /**
   * Creates a selector.
   *
   * @param readersPerZone the number of readers per zone
   */
  public RendezvousReaderSelector(int readersPerZone) {
    this.readersPerZone = readersPerZone;
  }

  @Override
  public boolean isReader(HostId host, Set<HostId> liveHosts) {
    PartDigest own = weight(host);
    long greater = liveHosts.stream().filter(other -> weight(other).compareTo(own) > 0).count();
    return greater < readersPerZone;
  }

  private static PartDigest weight(HostId host) {
    return PartDigest.of(SALT + host.value());
  }
}
