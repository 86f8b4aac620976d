package org.lentilhinge.lease;

import java.util.List;
import org.lentilhinge.identity.HostId;

/**
 * A list of a zone's hosts in which owners need a majority of votes.
 *
 * @param hosts the hosts, sorted by name
 * @param remainingMillis the remaining time for which the list is active, in milliseconds
 */
public record VoterList(List<HostId> hosts, long remainingMillis) {

  /**
   * Copies the list.
   *
   * @param hosts the hosts
   * @param remainingMillis the remaining time, in milliseconds
   */
  public VoterList {
    hosts = List.copyOf(hosts);
  }

  /**
   * Returns a digest that identifies the hosts.
   *
   * @return the digest
   */
  public long digest() {
    long digest = hosts.size();
    for (HostId host : hosts) {
      digest = RendezvousHash.mix(digest + RendezvousHash.hash(host.value()));
    }
    return digest;
  }
}
