package org.lentilhinge.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.lentilhinge.identity.HostId;

/** Tracks the live peers and the version that each of them has last reported. */
final class PeerVersions {

  private final RandomGenerator random;
  private final Map<HostId, PublishedVersion> reportedVersions = new HashMap<>();
  private Set<HostId> zonePeers = Set.of();
  private Set<HostId> outsidePeers = Set.of();

  // Peers are selected far more often than they change, so they are sorted once for a change.
  private List<HostId> sortedZonePeers = List.of();
  private List<HostId> sortedOutsidePeers = List.of();

  PeerVersions(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Replaces the sets of live peers.
   *
   * @return the added peers of the zone, whose versions are to be queried
   */
  List<HostId> updatePeers(Set<HostId> zone, Set<HostId> outside) {
    Set<HostId> added = new TreeSet<>(zone);
    added.removeAll(zonePeers);
    zonePeers = zone;
    outsidePeers = outside;
    sortedZonePeers = zone.stream().sorted().toList();
    sortedOutsidePeers = outside.stream().sorted().toList();
    Set<HostId> live = new HashSet<>(zone);
    live.addAll(outside);
    reportedVersions.keySet().retainAll(live);
    return new ArrayList<>(added);
  }

  Set<HostId> zonePeers() {
    return zonePeers;
  }

  void recordVersion(HostId peer, PublishedVersion version) {
    reportedVersions.put(peer, version);
  }

  void removeVersion(HostId peer) {
    reportedVersions.remove(peer);
  }

  /** Indicates whether every live peer of the zone has reported its version. */
  boolean allZonePeersReported() {
    return !zonePeers.isEmpty() && reportedVersions.keySet().containsAll(zonePeers);
  }

  /** Returns the latest reported version that precedes the bound. */
  Optional<PublishedVersion> latestBefore(PublishedVersion bound) {
    return reportedVersions.values().stream()
        .filter(bound::isAfter)
        .max(PublishedVersion::compareTo);
  }

  /**
   * Returns the peers that have applied a version: those of the zone, or if there are none, those
   * of the other zones.
   */
  List<HostId> peersWithVersion(PublishedVersion version) {
    List<HostId> inZone = peersWithVersion(version, zonePeers);
    return inZone.isEmpty() ? peersWithVersion(version, outsidePeers) : inZone;
  }

  private List<HostId> peersWithVersion(PublishedVersion version, Set<HostId> peers) {
    return peers.stream()
        .filter(peer -> version.equals(reportedVersions.get(peer)))
        .sorted()
        .toList();
  }

  Optional<HostId> randomZonePeer() {
    return randomPeer(sortedZonePeers);
  }

  Optional<HostId> randomOutsidePeer() {
    return randomPeer(sortedOutsidePeers);
  }

  private Optional<HostId> randomPeer(List<HostId> peers) {
    return peers.isEmpty()
        ? Optional.empty()
        : Optional.of(peers.get(random.nextInt(peers.size())));
  }
}
