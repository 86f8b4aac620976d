package org.lentilhinge.follow;

import java.util.Set;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;

/** An event that {@link ConfigurationFollower} handles. */
public sealed interface FollowEvent {

  /** A timer tick, which occurs every {@link ConfigurationFollower#TICK_MILLIS}. */
  record TimerElapsed() implements FollowEvent {}

  /**
   * A change of the set of live entry hosts.
   *
   * @param zonePeers the other live hosts of this host's availability zone
   * @param zoneSize the number of hosts that the platform lists for this zone, this host included
   * @param outsidePeers the live hosts of the other zones
   */
  record PeersChanged(Set<HostId> zonePeers, int zoneSize, Set<HostId> outsidePeers)
      implements FollowEvent {

    /**
     * Creates the event with copies of the sets.
     *
     * @param zonePeers the other live hosts of this zone
     * @param zoneSize the number of listed hosts of this zone
     * @param outsidePeers the live hosts of the other zones
     */
    public PeersChanged {
      zonePeers = Set.copyOf(zonePeers);
      outsidePeers = Set.copyOf(outsidePeers);
    }
  }

  /**
   * A response of the service to a watch, with the text stored under the published key.
   *
   * @param text the text
   * @param revision the service's revision of the text
   */
  record WatchAnswered(String text, long revision) implements FollowEvent {}

  /** A response of the service that reports no change during the watch. */
  record WatchUnchanged() implements FollowEvent {}

  /**
   * The failure of a watch.
   *
   * @param reason the cause of the failure
   */
  record WatchFailed(String reason) implements FollowEvent {}

  /**
   * A part that the service has returned.
   *
   * @param digest the digest under which the part was requested
   * @param text the returned text, whose digest is not yet verified
   */
  record PartRead(PartDigest digest, String text) implements FollowEvent {}

  /**
   * The failure to read a part from the service.
   *
   * @param digest the part's digest
   * @param reason the cause of the failure
   */
  record PartReadFailed(PartDigest digest, String reason) implements FollowEvent {}

  /**
   * A message received from a peer. Messages that do not concern the configuration are ignored.
   *
   * @param peer the peer
   * @param message the message
   */
  record PeerMessageReceived(HostId peer, PeerMessage message) implements FollowEvent {}
}
