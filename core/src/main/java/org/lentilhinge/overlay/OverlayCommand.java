package org.lentilhinge.overlay;

import org.lentilhinge.message.PeerMessage;

/** What a host does after an event of its overlay. */
public sealed interface OverlayCommand {

  /**
   * Sends a message.
   *
   * @param host the receiving host
   * @param message the message
   */
  record Send(String host, PeerMessage message) implements OverlayCommand {}

  /**
   * Reports that a host was learned of, or that it returned.
   *
   * @param host its record
   */
  record Joined(HostRecord host) implements OverlayCommand {}

  /**
   * Reports that the process of a host was restarted, so that its former requests have ended.
   *
   * @param host its record
   */
  record Restarted(HostRecord host) implements OverlayCommand {}

  /**
   * Reports that a host started a planned shutdown.
   *
   * @param host its record
   */
  record Leaving(HostRecord host) implements OverlayCommand {}

  /**
   * Reports that a host does not respond; it may refute that within a short time.
   *
   * @param host its record
   */
  record Suspected(HostRecord host) implements OverlayCommand {}

  /**
   * Reports that a host does not respond and did not refute it.
   *
   * @param host its last record
   */
  record Lost(HostRecord host) implements OverlayCommand {}
}
