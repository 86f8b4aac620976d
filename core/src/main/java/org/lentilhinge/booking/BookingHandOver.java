package org.lentilhinge.booking;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * Hands over a part of a stopping host's table to one incarnation of its successor, or queries the
 * successor's current incarnation. The sender no longer runs any calls. The rights pass to the
 * successor when the last part has arrived.
 *
 * @param sender the stopping host
 * @param successor the incarnation that may accept the table, or empty to query it
 * @param partIndex the index of this part, from 0
 * @param partCount the number of parts
 * @param delegations the issuers whose tickets the successor may run after the hand-over; identical
 *     in all parts
 * @param partitions the partitions for which the sender's table of ordinary keys was complete
 * @param entries the entries of this part
 */
public record BookingHandOver(
    HostIncarnation sender,
    Optional<HostIncarnation> successor,
    int partIndex,
    int partCount,
    List<TicketDelegation> delegations,
    Set<BookingPartition> partitions,
    List<BookingEntry> entries)
    implements PeerMessage {}
