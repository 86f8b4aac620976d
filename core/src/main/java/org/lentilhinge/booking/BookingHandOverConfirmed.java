package org.lentilhinge.booking;

import java.util.Set;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * Confirms to the successor which partitions the stopping host still owned after the successor had
 * received its table. No other host can have run keys of these partitions in the meantime.
 *
 * @param sender the stopping host
 * @param partitions the partitions that the sender still owned
 */
public record BookingHandOverConfirmed(HostIncarnation sender, Set<BookingPartition> partitions)
    implements PeerMessage {}
