package org.lentilhinge.membership;

import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;

/** The information that a host has received in heartbeats from another host of its zone. */
final class MemberRecord {

  private HostIncarnation incarnation;
  private long lastHeartbeatAtMillis;
  private boolean leaving;
  private boolean missesHeartbeats;
  private ConfigurationVersion configuration;
  private MemberState reportedState = MemberState.GONE;

  MemberRecord(Heartbeat heartbeat, HostId self, long nowMillis) {
    update(heartbeat, self, nowMillis);
  }

  void update(Heartbeat heartbeat, HostId self, long nowMillis) {
    missesHeartbeats = heartbeat.silentHosts().contains(self);
    incarnation = heartbeat.sender();
    lastHeartbeatAtMillis = nowMillis;
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
  boolean missesHeartbeats() {
    return missesHeartbeats;
  }

  long silenceMillis(long nowMillis) {
    return nowMillis - lastHeartbeatAtMillis;
  }

  /** Moves the time of the last heartbeat back to the given time if it is later. */
  void backdate(long latestAtMillis) {
    lastHeartbeatAtMillis = Math.min(lastHeartbeatAtMillis, latestAtMillis);
  }

  /** Returns the state that was last reported to the host that runs {@link Membership}. */
  MemberState reportedState() {
    return reportedState;
  }

  void setReportedState(MemberState state) {
    reportedState = state;
  }
}
