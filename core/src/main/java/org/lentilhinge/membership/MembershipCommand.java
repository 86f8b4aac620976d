package org.lentilhinge.membership;

import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/** A command for the host that runs {@link Membership}. */
public sealed interface MembershipCommand {

  /**
   * Sends a message to a host.
   *
   * @param to the receiver
   * @param message the message
   */
  record Send(HostId to, PeerMessage message) implements MembershipCommand {}

  /**
   * Reports a change of a host's state.
   *
   * @param host the host
   * @param state the host's new state
   */
  record StateChanged(HostId host, MemberState state) implements MembershipCommand {}

  /**
   * Reports that a host has restarted. Everything that its previous incarnation owned is void.
   *
   * @param previous the previous incarnation
   * @param current the current incarnation
   */
  record Restarted(HostIncarnation previous, HostIncarnation current)
      implements MembershipCommand {}

  /**
   * Reports that an endpoint is leaving and accepts no new work.
   *
   * @param endpoint the endpoint
   */
  record EndpointLeaving(EndpointId endpoint) implements MembershipCommand {}

  /**
   * Reports that a peer has a higher configuration version than this host.
   *
   * @param peer the peer
   * @param version the peer's version
   */
  record ConfigurationAhead(HostId peer, ConfigurationVersion version)
      implements MembershipCommand {}
}
