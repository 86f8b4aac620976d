package org.lentilhinge.permit;

import java.util.List;
import org.lentilhinge.message.PeerMessage;

/**
 * Statuses of engines on their way to all hosts.
 *
 * @param owners the statuses by the hosts that created them
 * @param relayed whether the receiver passes the statuses on to the other hosts of its zone
 */
public record EngineStatuses(List<OwnerStatuses> owners, boolean relayed) implements PeerMessage {

  /**
   * Copies the list.
   *
   * @param owners the statuses
   * @param relayed whether the receiver passes them on
   */
  public EngineStatuses {
    owners = List.copyOf(owners);
  }
}
