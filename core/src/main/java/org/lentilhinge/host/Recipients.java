package org.lentilhinge.host;

import java.util.Collection;
import org.lentilhinge.identity.HostId;

/** Selects the hosts that receive a message. */
interface Recipients {

  /** Returns all known hosts of all zones, including this one. */
  Collection<HostId> all();

  /** Returns the hosts of this zone that may be reachable, including this one. */
  Collection<HostId> zone();

  /** Returns the hosts of this region that may be reachable, including this one. */
  Collection<HostId> near();

  /** Returns the hosts of the other regions that may be reachable. */
  Collection<HostId> far();
}
