package org.lentilhinge.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.identity.HostId;

/**
 * The active lists of a zone's hosts: the current list and those that were replaced within the
 * retention time. A holder needs a majority in each active list, and a grantor refuses a holder
 * that does not use all of the grantor's lists, so that any two majorities have a host in common
 * while the lists change.
 */
final class VoterLists {

  /** The expiry of the current list, which is active until another list replaces it. */
  private static final long UNLIMITED = Long.MAX_VALUE;

  private final long retentionMillis;
  private final Map<Long, Entry> entries = new TreeMap<>();
  private long currentDigest;
  private long confirmedAtMillis;
  private long nextExpiryAtMillis = UNLIMITED;
  private List<List<HostId>> activeLists = List.of();
  private boolean currentListKnown;

  VoterLists(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  /** Records the list that the platform currently reports. */
  void updateCurrent(Collection<HostId> hosts, long nowMillis) {
    VoterList list = new VoterList(hosts.stream().distinct().sorted().toList(), 0);
    long digest = list.digest();
    confirmedAtMillis = nowMillis;
    if (currentListKnown && digest == currentDigest) {
      return;
    }
    if (currentListKnown) {
      Entry replaced = entries.get(currentDigest);
      entries.put(currentDigest, new Entry(replaced.hosts(), nowMillis + retentionMillis));
    }
    currentListKnown = true;
    currentDigest = digest;
    entries.put(digest, new Entry(list.hosts(), UNLIMITED));
    updateCachedValues();
  }

  /** Adds the active lists of a peer; returns whether any of the lists was new. */
  boolean addFromPeer(List<VoterList> lists, long nowMillis) {
    boolean added = false;
    for (VoterList list : lists) {
      long remainingMillis = Math.min(list.remainingMillis(), retentionMillis);
      if (remainingMillis > 0 && !entries.containsKey(list.digest())) {
        entries.put(list.digest(), new Entry(list.hosts(), nowMillis + remainingMillis));
        added = true;
      }
    }
    updateCachedValues();
    return added;
  }

  /** Removes the lists whose retention time has passed. */
  void removeExpired(long nowMillis) {
    if (nowMillis >= nextExpiryAtMillis) {
      entries.values().removeIf(entry -> entry.expiresAtMillis() <= nowMillis);
      updateCachedValues();
    }
  }

  List<Long> digests(long nowMillis) {
    removeExpired(nowMillis);
    return List.copyOf(entries.keySet());
  }

  boolean areAllIn(Collection<Long> digests, long nowMillis) {
    removeExpired(nowMillis);
    return currentListKnown && digests.containsAll(entries.keySet());
  }

  List<VoterList> toVoterLists(long nowMillis) {
    removeExpired(nowMillis);
    List<VoterList> voterLists = new ArrayList<>();
    for (Entry entry : entries.values()) {
      boolean current = entry.expiresAtMillis() == UNLIMITED;
      long remainingMillis = current ? retentionMillis : entry.expiresAtMillis() - nowMillis;
      voterLists.add(new VoterList(entry.hosts(), remainingMillis));
    }
    return voterLists;
  }

  List<List<HostId>> activeLists(long nowMillis) {
    removeExpired(nowMillis);
    return activeLists;
  }

  Set<HostId> currentHosts() {
    return currentListKnown ? Set.copyOf(entries.get(currentDigest).hosts()) : Set.of();
  }

  /** Returns the time since the platform last reported the current list. */
  long ageMillis(long nowMillis) {
    return currentListKnown ? nowMillis - confirmedAtMillis : UNLIMITED;
  }

  private void updateCachedValues() {
    activeLists = entries.values().stream().map(Entry::hosts).toList();
    nextExpiryAtMillis =
        entries.values().stream().mapToLong(Entry::expiresAtMillis).min().orElse(UNLIMITED);
  }

  private record Entry(List<HostId> hosts, long expiresAtMillis) {}
}
