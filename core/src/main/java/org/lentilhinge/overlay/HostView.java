package org.lentilhinge.overlay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.lentilhinge.lease.RendezvousHash;

/** The records of the live hosts, and the last versions of those that were lost. */
final class HostView {

  /**
   * The retention time of lost hosts, in milliseconds. A lost host may still run in a part of the
   * network that is cut off, so it counts among the hosts that share a budget, and contact with it
   * is tried, until then.
   */
  private static final long LOST_RETENTION_MILLIS = 600_000;

  private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;

  private final Map<String, HostRecord> live = new HashMap<>();
  private final Map<String, LostHost> lost = new HashMap<>();
  private long digest;

  private record LostHost(long version, long lostAtMillis, boolean leaving) {}

  /** Adds or replaces a record; returns the former live record. */
  Optional<HostRecord> put(HostRecord newRecord) {
    lost.remove(newRecord.host());
    HostRecord former = live.put(newRecord.host(), newRecord);
    digest ^= digestOf(newRecord) ^ (former == null ? 0 : digestOf(former));
    return Optional.ofNullable(former);
  }

  /** Moves a live host to the lost ones. */
  void lose(HostRecord host, long nowMillis) {
    live.remove(host.host());
    digest ^= digestOf(host);
    lost.put(host.host(), new LostHost(host.version(), nowMillis, host.leaving()));
  }

  void forgetLost(long nowMillis) {
    lost.values().removeIf(host -> nowMillis - host.lostAtMillis() > LOST_RETENTION_MILLIS);
  }

  Optional<HostRecord> find(String host) {
    return Optional.ofNullable(live.get(host));
  }

  /** Indicates whether a host is neither live nor lost. */
  boolean isUnknown(String host) {
    return !live.containsKey(host) && !lost.containsKey(host);
  }

  /** Returns the version at which a host was lost, or empty if it is not among the lost hosts. */
  OptionalLong lostVersion(String host) {
    LostHost entry = lost.get(host);
    return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.version());
  }

  Collection<HostRecord> live() {
    return live.values();
  }

  int lostCount() {
    return lost.size();
  }

  List<String> lost() {
    return new ArrayList<>(lost.keySet());
  }

  /**
   * Passes on the hosts that were lost at a time or later and had not announced their shutdown.
   *
   * @param sinceMillis the monotonic time, in milliseconds
   * @param action receives the name of each such host once, in no particular order
   */
  void forEachLostSince(long sinceMillis, Consumer<String> action) {
    lost.forEach(
        (host, entry) -> {
          if (!entry.leaving() && entry.lostAtMillis() >= sinceMillis) {
            action.accept(host);
          }
        });
  }

  /** Indicates whether a host is live, or was lost before some time and not heard of since. */
  boolean isKnown(KnownHost host, long lostBeforeMillis) {
    LostHost entry = lost.get(host.host());
    return live.containsKey(host.host())
        || (entry != null
            && entry.version() >= host.version()
            && entry.lostAtMillis() <= lostBeforeMillis);
  }

  /** Returns when hosts were lost that had not announced their shutdown, in milliseconds. */
  Map<String, Long> lostAtMillis(long sinceMillis) {
    Map<String, Long> times = new HashMap<>();
    lost.forEach(
        (host, entry) -> {
          if (!entry.leaving() && entry.lostAtMillis() >= sinceMillis) {
            times.put(host, entry.lostAtMillis());
          }
        });
    return times;
  }

  /** Returns the digest of the live hosts together with a further record. */
  long digestWith(HostRecord self) {
    return digest ^ digestOf(self);
  }

  private static long digestOf(HostRecord host) {
    return RendezvousHash.mix(RendezvousHash.hash(host.host()) + GOLDEN_RATIO * host.version());
  }
}
