package org.lentilhinge.membership;

import java.util.Optional;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;

/**
 * A snapshot of the known information about an entry host.
 *
 * @param host the host
 * @param zone the host's availability zone
 * @param state the host's state
 * @param incarnation the host's latest incarnation, or empty if no heartbeat was received from it
 * @param configuration the configuration version in the host's last heartbeat
 */
public record Member(
    HostId host,
    ZoneId zone,
    MemberState state,
    Optional<HostIncarnation> incarnation,
    ConfigurationVersion configuration) {}
