package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tracks the hosts whose heartbeats this host receives, and the addresses of possible peers. */
public final class HostDirectory {

  /** The time without a heartbeat after which a host counts as failed, in milliseconds. */
  private static final long HEARTBEAT_TIMEOUT_MILLIS = 2_000;

  /**
   * The time after which an address is removed that no heartbeat or connection has confirmed, in
   * milliseconds.
   */
  private static final long ADDRESS_EXPIRY_MILLIS = 60_000;

  private final OwnerRanking.Candidate self;
  private final Set<String> seeds;
  private final Map<String, ReceivedHeartbeat> heartbeats = new HashMap<>();
  private final Map<String, Long> knownHosts = new HashMap<>();
  private final Set<String> expired = new LinkedHashSet<>();
  private final Set<String> disconnected = new HashSet<>();

  private record ReceivedHeartbeat(HostHeartbeat heartbeat, long receivedAtMillis) {}

  /**
   * Creates a directory.
   *
   * @param self this host
   * @param seeds the names of the hosts that are known at startup
   */
  public HostDirectory(OwnerRanking.Candidate self, Collection<String> seeds) {
    this.self = self;
    this.seeds = new LinkedHashSet<>(seeds);
  }

  /**
   * Adds seed hosts.
   *
   * @param names the names of further hosts to connect to
   */
  public void addSeeds(Collection<String> names) {
    seeds.addAll(names);
  }

  /**
   * Records a heartbeat.
   *
   * @param host the host that sent the heartbeat
   * @param heartbeat the heartbeat
   * @param nowMillis the current time, in milliseconds
   * @return whether the host was unknown or had expired
   */
  public boolean recordHeartbeat(String host, HostHeartbeat heartbeat, long nowMillis) {
    ReceivedHeartbeat former = heartbeats.put(host, new ReceivedHeartbeat(heartbeat, nowMillis));
    expired.remove(host);
    disconnected.remove(host);
    heartbeat.hosts().forEach(name -> knownHosts.put(name, nowMillis));
    knownHosts.put(host, nowMillis);
    return former == null;
  }

  /**
   * Records that a host authenticated itself on a connection.
   *
   * @param host the host
   * @param nowMillis the current time, in milliseconds
   */
  public void recordConnection(String host, long nowMillis) {
    knownHosts.put(host, nowMillis);
  }

  /**
   * Records that the connection to a host was lost, which may mean that the host has stopped.
   *
   * @param host the host
   */
  public void markDisconnected(String host) {
    disconnected.add(host);
  }

  /**
   * Returns whether requests can be sent to a host.
   *
   * @param host the host
   * @return whether the connection was not lost after the host's latest heartbeat
   */
  public boolean isConnected(String host) {
    return !disconnected.contains(host);
  }

  /**
   * Expires the hosts whose heartbeats have stopped.
   *
   * @param nowMillis the current time, in milliseconds
   * @return the hosts that expired with this call
   */
  public List<String> expire(long nowMillis) {
    List<String> newlyExpired = new ArrayList<>();
    for (Map.Entry<String, ReceivedHeartbeat> entry : Map.copyOf(heartbeats).entrySet()) {
      if (nowMillis - entry.getValue().receivedAtMillis() > HEARTBEAT_TIMEOUT_MILLIS) {
        disconnected.remove(entry.getKey());
        heartbeats.remove(entry.getKey());
        expired.add(entry.getKey());
        newlyExpired.add(entry.getKey());
      }
    }
    knownHosts
        .values()
        .removeIf(confirmedAtMillis -> nowMillis - confirmedAtMillis > ADDRESS_EXPIRY_MILLIS);
    return newlyExpired;
  }

  /**
   * Lists the hosts that may own engines, including this host unless it is shutting down.
   *
   * @param leaving whether this host is in a planned shutdown
   * @return the running hosts that are not shutting down
   */
  public List<OwnerRanking.Candidate> candidates(boolean leaving) {
    List<OwnerRanking.Candidate> candidates = new ArrayList<>();
    if (!leaving) {
      candidates.add(self);
    }
    heartbeats.forEach(
        (host, latest) -> {
          if (!latest.heartbeat().leaving()) {
            candidates.add(
                new OwnerRanking.Candidate(
                    host, latest.heartbeat().zone(), latest.heartbeat().region()));
          }
        });
    return candidates;
  }

  /**
   * Lists the hosts from which this host receives heartbeats.
   *
   * @return their names in alphabetical order
   */
  public List<String> liveHosts() {
    return heartbeats.keySet().stream().sorted().toList();
  }

  /**
   * Lists the hosts to connect to.
   *
   * @return the names of the seed hosts and of all other known hosts, except this host
   */
  public Set<String> hostsToConnect() {
    Set<String> names = new LinkedHashSet<>(seeds);
    names.addAll(knownHosts.keySet());
    names.remove(self.host());
    return names;
  }

  /**
   * Counts the hosts that share a fleet-wide limit, including this host. Expired hosts still count,
   * because they may still run and use their share.
   *
   * @return the number of hosts
   */
  public int sharingHostCount() {
    return heartbeats.size() + expired.size() + 1;
  }
}
