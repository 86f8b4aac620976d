package org.lentilhinge.permit;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.lentilhinge.lease.RendezvousHash;

/**
 * Ranks the hosts that may own an engine: hosts of its zone first, then those of its region, then
 * all others, each group in the order of rendezvous hashing.
 */
public final class OwnerRanking {

  private OwnerRanking() {}

  /**
   * A host that may own engines.
   *
   * @param host the host's name
   * @param zone its availability zone
   * @param region its region
   */
  public record Candidate(String host, String zone, String region) {}

  /**
   * Ranks the hosts.
   *
   * @param engine the engine's id
   * @param zone the engine's zone
   * @param region the engine's region
   * @param candidates the running hosts
   * @return the hosts' names, the preferred owner first
   */
  public static List<String> rank(
      String engine, String zone, String region, Collection<Candidate> candidates) {
    return candidates.stream()
        .sorted(
            Comparator.<Candidate>comparingInt(candidate -> distance(candidate, zone, region))
                .thenComparing(
                    candidate -> RendezvousHash.weight(engine, candidate.host()),
                    (first, second) -> Long.compareUnsigned(second, first))
                .thenComparing(Candidate::host))
        .map(Candidate::host)
        .toList();
  }

  private static int distance(Candidate candidate, String zone, String region) {
    if (candidate.zone().equals(zone)) {
      return 0;
    }
    return candidate.region().equals(region) ? 1 : 2;
  }
}
