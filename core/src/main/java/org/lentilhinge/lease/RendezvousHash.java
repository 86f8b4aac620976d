package org.lentilhinge.lease;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.identity.HostId;

/**
 * Selects hosts for keys by rendezvous hashing (Thaler and Ravishankar 1998). Each host has a
 * weight for each key, and the host with the highest weight is selected, so that the loss of a host
 * moves only the keys of that host. All hosts compute the same weights.
 */
public final class RendezvousHash {

  private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;
  private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;

  private RendezvousHash() {}

  /**
   * Hashes a text to 64 bits: FNV-1a over its characters, then the finalizer of SplitMix64.
   *
   * @param text the text
   * @return the hash
   */
  public static long hash(String text) {
    long hash = OFFSET_BASIS;
    for (int index = 0; index < text.length(); index++) {
      hash = (hash ^ text.charAt(index)) * PRIME;
    }
    return mix(hash);
  }

  /**
   * Mixes 64 bits so that each input bit changes each output bit with a probability near 1/2.
   *
   * @param value the bits
   * @return the mixed bits
   */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /**
   * Returns the weight of a node for a key.
   *
   * @param key the key
   * @param node the node's name
   * @return the weight, to be compared as an unsigned number
   */
  public static long weight(String key, String node) {
    return weight(hash(key), hash(node));
  }

  /**
   * Returns the host with the highest weight for a key.
   *
   * @param key the key
   * @param hosts the hosts to select from
   * @return the host, or empty if there are no hosts
   */
  public static Optional<HostId> first(String key, Collection<HostId> hosts) {
    long keyHash = hash(key);
    HostId best = null;
    long bestWeight = 0;
    for (HostId host : hosts) {
      long weight = weight(keyHash, host);
      int comparison = Long.compareUnsigned(weight, bestWeight);
      if (best == null || comparison > 0 || (comparison == 0 && host.compareTo(best) < 0)) {
        best = host;
        bestWeight = weight;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Sorts hosts by descending weight for a key.
   *
   * @param key the key
   * @param hosts the hosts
   * @return the sorted hosts
   */
  public static List<HostId> ranked(String key, Collection<HostId> hosts) {
    return hosts.stream().sorted(comparator(key)).toList();
  }

  /**
   * Returns a comparator by descending weight for a key; hosts of equal weight compare by name.
   *
   * @param key the key
   * @return the comparator
   */
  public static Comparator<HostId> comparator(String key) {
    long keyHash = hash(key);
    Comparator<HostId> byWeight =
        (left, right) -> Long.compareUnsigned(weight(keyHash, right), weight(keyHash, left));
    return byWeight.thenComparing(Comparator.naturalOrder());
  }

  private static long weight(long keyHash, HostId host) {
    return weight(keyHash, hash(host.value()));
  }

  private static long weight(long keyHash, long nodeHash) {
    return mix(keyHash + GOLDEN_RATIO * nodeHash);
  }
}
