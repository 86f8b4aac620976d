package org.lentilhinge.membership;

import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;

/** The information that a host has received in heartbeats from another host of its zone. */
final class MemberRecord {

  private HostIncarnation incarnation;
  private long heardMillis;
  private boolean leaving;
  private boolean deaf;
  private ConfigurationVersion configuration;
  private MemberState told = MemberState.GONE;

  MemberRecord(Heartbeat heartbeat, HostId self, long nowMillis) {
    hear(heartbeat, self, nowMillis);
  }

  void hear(Heartbeat heartbeat, HostId self, long nowMillis) {
    deaf = heartbeat.unheard().contains(self);
    incarnation = heartbeat.sender();
    heardMillis = nowMillis;
    leaving = heartbeat.leaving();
    configuration = heartbeat.configuration();
  }

  HostIncarnation incarnation() {
    return incarnation;
  }

  ConfigurationVersion configuration() {
    return configuration;
  }

  boolean leaving() {
    return leaving;
  }

  /**
   * Indicates whether the other host does not receive this host's heartbeats, so that the
   * connection works in one direction only.
   */
  boolean deaf() {
    return deaf;
  }

  long silenceMillis(long nowMillis) {
    return nowMillis - heardMillis;
  }

  /** Moves the time of the last heartbeat back to the given time if it is later. */
  void age(long latestAtMillis) {
    heardMillis = Math.min(heardMillis, latestAtMillis);
  }

  /** Returns the state that was last reported to the host that runs {@link Membership}. */
  MemberState told() {
    return told;
  }

  void tell(MemberState state) {
    told = state;
  }
}
