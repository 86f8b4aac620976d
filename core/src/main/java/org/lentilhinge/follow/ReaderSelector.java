package org.lentilhinge.follow;

import java.util.Set;
import org.lentilhinge.identity.HostId;

/** Selects the entry hosts of an availability zone that read the platform's service. */
@FunctionalInterface
public interface ReaderSelector {

  /**
   * Indicates whether a host reads the platform's service.
   *
   * @param host the host
   * @param liveHosts the live hosts of the host's zone, the host included
   * @return whether the host is one of the zone's readers
   */
  boolean isReader(HostId host, Set<HostId> liveHosts);
}
