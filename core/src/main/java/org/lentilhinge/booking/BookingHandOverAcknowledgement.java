package org.lentilhinge.booking;

import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * Reports to a stopping host the current incarnation of its successor and whether the successor has
 * received the table.
 *
 * @param sender the stopping host
 * @param successor the current incarnation of the successor
 * @param complete whether the successor has received the complete table
 */
public record BookingHandOverAcknowledgement(
    HostIncarnation sender, HostIncarnation successor, boolean complete) implements PeerMessage {}
