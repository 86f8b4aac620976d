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

  private final long memoryMillis;
  private final Map<Long, Entry> entries = new TreeMap<>();
  private long currentDigest;
  private long confirmedMillis;
  private long nextExpiryMillis = UNLIMITED;
  private List<List<HostId>> hosts = List.of();
  private boolean known;

  VoterLists(long retentionMillis) {
    this.memoryMillis = retentionMillis;
  }

  /** Records the list that the platform reports now. */
  void observe(Collection<HostId> hosts, long nowMillis) {
    VoterList list = new VoterList(hosts.stream().distinct().sorted().toList(), 0);
    long digest = list.digest();
    confirmedMillis = nowMillis;
    if (known && digest == currentDigest) {
      return;
    }
    if (known) {
      Entry replaced = entries.get(currentDigest);
      entries.put(currentDigest, new Entry(replaced.hosts(), nowMillis + memoryMillis));
    }
    known = true;
    currentDigest = digest;
    entries.put(digest, new Entry(list.hosts(), UNLIMITED));
    onChange();
  }

  /** Adds the active lists of a peer; returns whether one of them was new. */
  boolean adopt(List<VoterList> lists, long nowMillis) {
    boolean added = false;
    for (VoterList list : lists) {
      long remainingMillis = Math.min(list.remainingMillis(), memoryMillis);
      if (remainingMillis > 0 && !entries.containsKey(list.digest())) {
        entries.put(list.digest(), new Entry(list.hosts(), nowMillis + remainingMillis));
        added = true;
      }
    }
    onChange();
    return added;
  }

  /** Removes the lists whose retention time has passed. */
  void expire(long nowMillis) {
    if (nowMillis >= nextExpiryMillis) {
      entries.values().removeIf(entry -> entry.untilMillis() <= nowMillis);
      onChange();
    }
  }

  List<Long> digests(long nowMillis) {
    expire(nowMillis);
    return List.copyOf(entries.keySet());
  }

  boolean allIn(Collection<Long> digests, long nowMillis) {
    expire(nowMillis);
    return known && digests.containsAll(entries.keySet());
  }

  List<VoterList> recent(long nowMillis) {
    expire(nowMillis);
    List<VoterList> recent = new ArrayList<>();
    for (Entry entry : entries.values()) {
      boolean current = entry.untilMillis() == UNLIMITED;
      long remainingMillis = current ? memoryMillis : entry.untilMillis() - nowMillis;
      recent.add(new VoterList(entry.hosts(), remainingMillis));
    }
    return recent;
  }

  List<List<HostId>> lists(long nowMillis) {
    expire(nowMillis);
    return hosts;
  }

  Set<HostId> current() {
    return known ? Set.copyOf(entries.get(currentDigest).hosts()) : Set.of();
  }

  /** Returns the time since the platform last reported the current list. */
  long ageMillis(long nowMillis) {
    return known ? nowMillis - confirmedMillis : UNLIMITED;
  }

  private void onChange() {
    hosts = entries.values().stream().map(Entry::hosts).toList();
    nextExpiryMillis =
        entries.values().stream().mapToLong(Entry::untilMillis).min().orElse(UNLIMITED);
  }

  private record Entry(List<HostId> hosts, long untilMillis) {}
}
