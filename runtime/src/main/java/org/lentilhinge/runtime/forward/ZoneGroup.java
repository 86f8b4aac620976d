package org.lentilhinge.runtime.forward;

import org.lentilhinge.message.PeerMessage;

/** The hosts of this host's zone, one of which reads the published store for all of them. */
interface ZoneGroup {

  /** Returns whether this host reads for its zone. All hosts with the same view agree. */
  boolean isReader();

  /** Sends a message to the other hosts of the zone. */
  void sendToZone(PeerMessage news);
}
