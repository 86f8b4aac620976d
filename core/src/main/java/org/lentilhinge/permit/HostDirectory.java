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

  /** A host without a heartbeat for this long is treated as failed, in milliseconds. */
  private static final long SILENCE_MILLIS = 2_000;

  /** An address that no heartbeat or connection has confirmed for this long is dropped. */
  private static final long ADDRESS_MILLIS = 60_000;

  private final HolderRanking.Candidate self;
  private final Set<String> seeds;
  private final Map<String, Heard> heard = new HashMap<>();
  private final Map<String, Long> told = new HashMap<>();
  private final Set<String> lost = new LinkedHashSet<>();
  private final Set<String> unlinked = new HashSet<>();

  private record Heard(HostBeacon beacon, long atMillis) {}

  /**
   * Creates a directory.
   *
   * @param self this host
   * @param seeds the names of the hosts that are known at the start
   */
  public HostDirectory(HolderRanking.Candidate self, Collection<String> seeds) {
    this.self = self;
    this.seeds = new LinkedHashSet<>(seeds);
  }

  /**
   * Adds seed hosts.
   *
   * @param names the names of further hosts to connect to
   */
  public void seeds(Collection<String> names) {
    seeds.addAll(names);
  }

  /**
   * Records a heartbeat.
   *
   * @param host the host that sent the heartbeat
   * @param heartbeat the heartbeat
   * @param nowMillis the current time, in milliseconds
   * @return whether the host was unknown or had been expired
   */
  public boolean heard(String host, HostBeacon heartbeat, long nowMillis) {
    Heard former = heard.put(host, new Heard(heartbeat, nowMillis));
    lost.remove(host);
    unlinked.remove(host);
    heartbeat.hosts().forEach(name -> told.put(name, nowMillis));
    told.put(host, nowMillis);
    return former == null;
  }

  /**
   * Records that a host authenticated itself on a connection.
   *
   * @param host the host
   * @param nowMillis the current time, in milliseconds
   */
  public void met(String host, long nowMillis) {
    told.put(host, nowMillis);
  }

  /**
   * Records that the connection with a host broke, which may mean that the host has ended.
   *
   * @param host the host
   */
  public void unlinked(String host) {
    unlinked.add(host);
  }

  /**
   * Returns whether requests can be sent to a host.
   *
   * @param host the host
   * @return whether its connection has not broken since its last heartbeat
   */
  public boolean isLinked(String host) {
    return !unlinked.contains(host);
  }

  /**
   * Expires the hosts whose heartbeats have stopped.
   *
   * @param nowMillis the current time, in milliseconds
   * @return the hosts that expired with this call
   */
  public List<String> expire(long nowMillis) {
    List<String> gone = new ArrayList<>();
    for (Map.Entry<String, Heard> entry : Map.copyOf(heard).entrySet()) {
      if (nowMillis - entry.getValue().atMillis() > SILENCE_MILLIS) {
        unlinked.remove(entry.getKey());
        heard.remove(entry.getKey());
        lost.add(entry.getKey());
        gone.add(entry.getKey());
      }
    }
    told.values().removeIf(seenMillis -> nowMillis - seenMillis > ADDRESS_MILLIS);
    return gone;
  }

  /**
   * Lists the hosts that may own engines, including this host unless it is shutting down.
   *
   * @param leaving whether this host is in a planned shutdown
   * @return the running hosts that are not shutting down
   */
  public List<HolderRanking.Candidate> candidates(boolean leaving) {
    List<HolderRanking.Candidate> candidates = new ArrayList<>();
    if (!leaving) {
      candidates.add(self);
    }
    heard.forEach(
        (host, last) -> {
          if (!last.beacon().leaving()) {
            candidates.add(
                new HolderRanking.Candidate(host, last.beacon().zone(), last.beacon().region()));
          }
        });
    return candidates;
  }

  /**
   * Lists the hosts from which this host receives heartbeats.
   *
   * @return their names in alphabetical order
   */
  public List<String> alive() {
    return heard.keySet().stream().sorted().toList();
  }

  /**
   * Lists the hosts to connect to.
   *
   * @return the names of the seed hosts and of all hosts that are known, without this host
   */
  public Set<String> addresses() {
    Set<String> names = new LinkedHashSet<>(seeds);
    names.addAll(told.keySet());
    names.remove(self.host());
    return names;
  }

  /**
   * Counts the hosts that share a fleet-wide limit, including this host. Expired hosts still count,
   * because they may still run and use their share.
   *
   * @return the number of hosts
   */
  public int sharers() {
    return heard.size() + lost.size() + 1;
  }
}
