package org.lentilhinge.lease;

import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;

/** A command for the host that runs {@link ZoneOwnership}. */
public sealed interface OwnershipCommand {

  /**
   * Sends a message to a host of the zone.
   *
   * @param to the receiver
   * @param message the message
   */
  record Send(HostId to, PeerMessage message) implements OwnershipCommand {}

  /**
   * Reports that the level for an endpoint has changed. After a change from {@link
   * OwnershipLevel#NONE} the host creates a grant ledger in recovery and announces itself to all
   * hosts. After a change to {@code NONE}, the host discards the ledger and the orders that are not
   * yet written.
   *
   * @param endpoint the endpoint
   * @param previous the previous level
   * @param current the new level
   */
  record LevelChanged(EndpointId endpoint, OwnershipLevel previous, OwnershipLevel current)
      implements OwnershipCommand {}
}
