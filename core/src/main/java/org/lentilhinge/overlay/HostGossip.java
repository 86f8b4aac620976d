package org.lentilhinge.overlay;

import java.util.List;
import org.lentilhinge.message.PeerMessage;

/**
 * Changes that the sender has just learned. The receiver passes on those that are new to it.
 *
 * @param records new versions of records
 * @param suspicions hosts that do not respond
 */
public record HostGossip(List<HostRecord> records, List<HostSuspicion> suspicions)
    implements PeerMessage {

  /**
   * Copies the lists.
   *
   * @param records the records
   * @param suspicions the suspicions
   */
  public HostGossip {
    records = List.copyOf(records);
    suspicions = List.copyOf(suspicions);
  }
}
