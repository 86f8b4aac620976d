package org.lentilhinge.follow;

import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;

/** A command of {@link ConfigurationFollower} that its caller executes. */
public sealed interface FollowCommand {

  /**
   * Watches the published key until the service responds once.
   *
   * @param afterRevision the revision above which the service responds at once; 0 for any revision
   * @param waitMillis the time in milliseconds after which the service responds that nothing has
   *     changed
   */
  record Watch(long afterRevision, long waitMillis) implements FollowCommand {}

  /** Cancels the running watch. Its result is no longer needed. */
  record StopWatch() implements FollowCommand {}

  /**
   * Reads a part from the service.
   *
   * @param digest the part's digest
   */
  record ReadPart(PartDigest digest) implements FollowCommand {}

  /**
   * Sends a message to a peer.
   *
   * @param peer the peer
   * @param message the message
   */
  record Send(HostId peer, PeerMessage message) implements FollowCommand {}

  /**
   * Applies a configuration.
   *
   * @param version the published version
   * @param configuration the configuration
   * @param findings the warnings about the configuration
   */
  record Apply(PublishedVersion version, Configuration configuration, Findings findings)
      implements FollowCommand {}

  /**
   * Reports that a published version was rejected. The applied configuration remains in use.
   *
   * @param version the rejected version
   * @param findings the reasons for the rejection
   */
  record Reject(PublishedVersion version, Findings findings) implements FollowCommand {}
}
