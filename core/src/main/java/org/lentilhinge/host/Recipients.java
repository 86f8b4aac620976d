package org.lentilhinge.host;

import java.util.Collection;
import org.lentilhinge.identity.HostId;

/** Selects the hosts that receive a message. */
interface Recipients {

  /** Returns all known hosts of all zones, including this one. */
  Collection<HostId> allHosts();

  /** Returns the hosts of this zone that may be reachable, including this one. */
  Collection<HostId> zoneHosts();

  /** Returns the hosts of this region that may be reachable, including this one. */
  Collection<HostId> regionHosts();

  /** Returns the hosts of the other regions that may be reachable. */
  Collection<HostId> remoteRegionHosts();
}
