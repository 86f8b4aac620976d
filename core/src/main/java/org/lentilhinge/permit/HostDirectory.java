package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Keeps the hosts that this one hears from, and the addresses at which others may be found. */
public final class HostDirectory {

  /** A host that is silent for this long is not counted on, in milliseconds. */
  private static final long SILENCE_MILLIS = 2_000;

  /** An address that leads to nobody for this long is given up, in milliseconds. */
  private static final long ADDRESS_MILLIS = 60_000;

  private final HolderRanking.Candidate self;
  private final Set<String> seeds;
  private final Map<String, Heard> heard = new HashMap<>();
  private final Map<String, Long> told = new HashMap<>();
  private final Set<String> lost = new LinkedHashSet<>();
  private final Set<String> unlinked = new HashSet<>();

  private record Heard(HostBeacon beacon, long atMillis) {}

  /**
   * Makes a directory.
   *
   * @param self this host
   * @param seeds the names of the hosts known from the start
   */
  public HostDirectory(HolderRanking.Candidate self, Collection<String> seeds) {
    this.self = self;
    this.seeds = new LinkedHashSet<>(seeds);
  }

  /**
   * Adds seeds.
   *
   * @param names the names of further hosts to link with
   */
  public void seeds(Collection<String> names) {
    seeds.addAll(names);
  }

  /**
   * Takes a beacon.
   *
   * @param host the host that sent it
   * @param beacon the beacon
   * @param nowMillis the time
   * @return whether the host is new or was given up
   */
  public boolean heard(String host, HostBeacon beacon, long nowMillis) {
    Heard former = heard.put(host, new Heard(beacon, nowMillis));
    lost.remove(host);
    unlinked.remove(host);
    beacon.hosts().forEach(name -> told.put(name, nowMillis));
    told.put(host, nowMillis);
    return former == null;
  }

  /**
   * Notes that a host proved itself on a link.
   *
   * @param host the host
   * @param nowMillis the time
   */
  public void met(String host, long nowMillis) {
    told.put(host, nowMillis);
  }

  /**
   * Notes that the link with a host broke: it may have ended.
   *
   * @param host the host
   */
  public void unlinked(String host) {
    unlinked.add(host);
  }

  /**
   * Tells whether a host can be asked now.
   *
   * @param host the host
   * @return whether nothing is known against it since its last beacon
   */
  public boolean isLinked(String host) {
    return !unlinked.contains(host);
  }

  /**
   * Gives up the hosts that have fallen silent.
   *
   * @param nowMillis the time
   * @return the hosts that were given up since the last call
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
    told.values().removeIf(at -> nowMillis - at > ADDRESS_MILLIS);
    return gone;
  }

  /**
   * Lists the hosts that may hold engines, this one included unless it leaves.
   *
   * @param leaving whether this host stops as planned
   * @return the hosts that run and stay
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
   * Lists the hosts that this one hears.
   *
   * @return their names
   */
  public List<String> alive() {
    return heard.keySet().stream().sorted().toList();
  }

  /**
   * Lists the hosts to link with.
   *
   * @return the names of all hosts heard of, without this one
   */
  public Set<String> addresses() {
    Set<String> names = new LinkedHashSet<>(seeds);
    names.addAll(told.keySet());
    names.remove(self.host());
    return names;
  }

  /**
   * Counts the hosts that share a bound, this one included. Hosts that fell silent still count:
   * they may go on spending.
   *
   * @return the number of hosts
   */
  public int sharers() {
    return heard.size() + lost.size() + 1;
  }
}
