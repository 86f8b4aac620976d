package org.lentilhinge.runtime.forward;

import org.lentilhinge.message.PeerMessage;

/** The hosts of this host's zone, one of which reads the published store for all of them. */
interface ZoneGroup {

  /**
   * Returns the number of hosts of the zone that read the store before this host; 0 for the reader
   * of the zone. All hosts with the same view agree.
   */
  int rank();

  /** Sends a message to the other hosts of the zone. */
  void sendToZone(PeerMessage news);
}
