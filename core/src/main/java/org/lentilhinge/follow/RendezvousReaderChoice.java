package org.lentilhinge.follow;

import java.util.Set;
import org.lentilhinge.identity.HostId;

/**
 * Selects the readers by rendezvous hashing: the hosts with the greatest digests read. When a host
 * is lost, only its own role moves to another host.
 */
public final class RendezvousReaderChoice implements ReaderChoice {

  private static final String SALT = "configuration-reader/";

  private final int readers;

  /**
   * Creates a selector.
   *
   * @param readersPerZone the number of readers per zone
   */
  public RendezvousReaderChoice(int readersPerZone) {
    this.readers = readersPerZone;
  }

  @Override
  public boolean isReader(HostId host, Set<HostId> liveHosts) {
    PartDigest own = weight(host);
    long greater = liveHosts.stream().filter(other -> weight(other).compareTo(own) > 0).count();
    return greater < readers;
  }

  private static PartDigest weight(HostId host) {
    return PartDigest.of(SALT + host.value());
  }
}
