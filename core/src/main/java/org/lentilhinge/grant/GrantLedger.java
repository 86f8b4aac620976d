package org.lentilhinge.grant;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;

/**
 * Records which gateways may use which versions on one endpoint, and thereby which versions the
 * owner of the endpoint may evict.
 *
 * <p>A version is pinned while a grant is valid and for the maximum request duration afterwards,
 * because the requests of a failed gateway keep running. It is unpinned earlier only when the
 * gateway releases the grant or the engine confirms that the gateway's requests have ended. A load
 * report of the engine pins the versions that it shows as busy and never unpins a version.
 *
 * <p>An owner calls {@link #beginRecovery} on each change to {@link
 * org.lentilhinge.lease.OwnershipLevel#ORDER} and sends {@link OwnerAnnouncement} to all hosts. It
 * calls {@link #grant} only while {@code ZoneOwnership.mayServe} is true and the version is
 * resident, and {@link #beginEviction} immediately before it orders an unload.
 */
public final class GrantLedger {

  private final EndpointId endpoint;
  private final GrantSettings settings;
  private final Map<HostIncarnation, Map<AdapterVersion, Entry>> entries = new HashMap<>();
  private final Map<HostIncarnation, Long> releaseSequences = new HashMap<>();
  private final Map<AdapterVersion, Long> busyUntilMillis = new HashMap<>();
  private final Set<AdapterVersion> evicting = new HashSet<>();
  private final Map<HostId, Long> awaitedHosts = new HashMap<>();
  private long earliestRecoveryEndMillis = Long.MIN_VALUE;

  /**
   * Creates an empty ledger.
   *
   * @param endpoint the endpoint
   * @param settings the intervals
   */
  public GrantLedger(EndpointId endpoint, GrantSettings settings) {
    this.endpoint = endpoint;
    this.settings = settings;
  }

  /**
   * Begins the recovery of a new owner. No version may be evicted until the recovery ends.
   *
   * @param hosts the hosts of all zones that may have grants: all known hosts, including hosts that
   *     are no longer live
   * @param uptimeMillis the time since this host started, in milliseconds; this host does not know
   *     hosts that failed before its start, whose requests may still run
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void beginRecovery(Collection<HostId> hosts, long uptimeMillis, long nowMillis) {
    long endMillis = nowMillis + settings.maximumPinMillis();
    awaitedHosts.clear();
    hosts.forEach(host -> awaitedHosts.put(host, endMillis));
    earliestRecoveryEndMillis = nowMillis + Math.max(0, settings.maximumPinMillis() - uptimeMillis);
  }

  /**
   * Returns whether a recovery is in progress.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether a recovery is in progress
   */
  public boolean isRecovering(long nowMillis) {
    awaitedHosts.values().removeIf(untilMillis -> untilMillis <= nowMillis);
    return nowMillis < earliestRecoveryEndMillis || !awaitedHosts.isEmpty();
  }

  /**
   * Returns the hosts that have not registered since the recovery began.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the hosts
   */
  public Set<HostId> awaitedHosts(long nowMillis) {
    awaitedHosts.values().removeIf(untilMillis -> untilMillis <= nowMillis);
    return Set.copyOf(awaitedHosts.keySet());
  }

  /**
   * Records a grant.
   *
   * @param gateway the gateway
   * @param sequence the sequence number of its request
   * @param version the version, which is resident
   * @param nowMillis the monotonic time, in milliseconds
   * @return the duration of the grant in milliseconds, or empty if a later release has already
   *     arrived or the version is being evicted
   */
  public OptionalLong grant(
      HostIncarnation gateway, long sequence, AdapterVersion version, long nowMillis) {
    if (evicting.contains(version) || isSuperseded(gateway, sequence)) {
      return OptionalLong.empty();
    }
    long untilMillis = nowMillis + settings.grantMillis();
    put(gateway, version, new Entry(sequence, untilMillis, pinnedUntilMillis(untilMillis)));
    return OptionalLong.of(settings.grantMillis());
  }

  /**
   * Records that a gateway has released versions.
   *
   * @param gateway the gateway
   * @param sequence the sequence number of its release
   * @param versions the versions
   */
  public void onRelease(
      HostIncarnation gateway, long sequence, Collection<AdapterVersion> versions) {
    releaseSequences.merge(gateway, sequence, Math::max);
    Map<AdapterVersion, Entry> held = entries.getOrDefault(gateway, Map.of());
    versions.forEach(version -> removeBefore(held, version, sequence));
    removeEmptyGateways();
  }

  /**
   * Records the grants that a gateway has from former owners.
   *
   * @param registration the registration
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void onRegistration(GrantRegistration registration, long nowMillis) {
    List<EndpointGrants> registered =
        registration.endpoints().stream()
            .filter(grants -> grants.endpoint().equals(endpoint))
            .toList();
    if (registered.isEmpty() || isSuperseded(registration.gateway(), registration.sequence())) {
      return;
    }
    registered.forEach(grants -> register(registration, grants, nowMillis));
    // A restarted gateway does not know the requests of its earlier incarnation, which may still be
    // running.
    long remainingMillis = settings.maximumRequestMillis() - registration.uptimeMillis();
    awaitedHosts.computeIfPresent(
        registration.gateway().host(),
        (host, untilMillis) -> Math.min(untilMillis, nowMillis + Math.max(0, remainingMillis)));
  }

  /**
   * Records that a gateway has restarted: its earlier incarnation starts no further request.
   *
   * @param current the current incarnation
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void onRestart(HostIncarnation current, long nowMillis) {
    entries.forEach(
        (gateway, held) -> {
          if (gateway.host().equals(current.host()) && gateway.number() < current.number()) {
            held.replaceAll(
                (version, entry) -> entry.endedAt(nowMillis, pinnedUntilMillis(nowMillis)));
          }
        });
  }

  /**
   * Records that the engine has confirmed the end of all requests of a gateway on a version.
   *
   * @param gateway the gateway
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void onRequestsEnded(HostIncarnation gateway, AdapterVersion version, long nowMillis) {
    Map<AdapterVersion, Entry> held = entries.getOrDefault(gateway, Map.of());
    Entry entry = held.get(version);
    if (entry != null && entry.validUntilMillis() <= nowMillis) {
      held.remove(version);
    }
    removeEmptyGateways();
  }

  /**
   * Pins the versions that the engine's load report shows as busy.
   *
   * @param busy the versions with running requests
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void onBusyVersions(Collection<AdapterVersion> busy, long nowMillis) {
    long untilMillis = nowMillis + settings.replyTimeoutMillis();
    busy.forEach(version -> busyUntilMillis.merge(version, untilMillis, Math::max));
  }

  /**
   * Returns whether a version may be evicted at this moment.
   *
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether no request can be running on the version or start on it
   */
  public boolean mayEvict(AdapterVersion version, long nowMillis) {
    return !isRecovering(nowMillis) && !isPinned(version, nowMillis);
  }

  /**
   * Begins an eviction if the version may be evicted; the version is not granted until it ends.
   *
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether the version may be evicted
   */
  public boolean beginEviction(AdapterVersion version, long nowMillis) {
    if (!mayEvict(version, nowMillis)) {
      return false;
    }
    evicting.add(version);
    return true;
  }

  /**
   * Ends an eviction, once the outcome of the unload is known.
   *
   * @param version the version
   */
  public void endEviction(AdapterVersion version) {
    evicting.remove(version);
  }

  /**
   * Returns the gateways whose grants or requests pin a version.
   *
   * @param version the version
   * @return the gateways
   */
  public Set<HostId> pinningGateways(AdapterVersion version) {
    Set<HostId> gateways = new TreeSet<>();
    entries.forEach(
        (gateway, held) -> {
          if (held.containsKey(version)) {
            gateways.add(gateway.host());
          }
        });
    return gateways;
  }

  /**
   * Returns the pinned versions.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the versions
   */
  public Set<AdapterVersion> pinned(long nowMillis) {
    onTick(nowMillis);
    Set<AdapterVersion> pinned = new TreeSet<>(busyUntilMillis.keySet());
    entries.values().forEach(held -> pinned.addAll(held.keySet()));
    return pinned;
  }

  /**
   * Removes expired pins.
   *
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void onTick(long nowMillis) {
    busyUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
    entries
        .values()
        .forEach(held -> held.values().removeIf(entry -> entry.pinnedUntilMillis() <= nowMillis));
    removeEmptyGateways();
  }

  private boolean isPinned(AdapterVersion version, long nowMillis) {
    if (busyUntilMillis.getOrDefault(version, Long.MIN_VALUE) > nowMillis) {
      return true;
    }
    for (Map<AdapterVersion, Entry> held : entries.values()) {
      Entry entry = held.get(version);
      if (entry != null && entry.pinnedUntilMillis() > nowMillis) {
        return true;
      }
    }
    return false;
  }

  private void register(GrantRegistration registration, EndpointGrants grants, long nowMillis) {
    for (HeldGrant grant : grants.grants()) {
      long untilMillis = nowMillis + Math.max(0, grant.remainingMillis());
      Entry entry = new Entry(registration.sequence(), untilMillis, pinnedUntilMillis(untilMillis));
      put(registration.gateway(), grant.version(), entry);
    }
  }

  private void put(HostIncarnation gateway, AdapterVersion version, Entry entry) {
    entries
        .computeIfAbsent(gateway, absent -> new HashMap<>())
        .merge(version, entry, Entry::mergedWith);
  }

  private static void removeBefore(
      Map<AdapterVersion, Entry> held, AdapterVersion version, long sequence) {
    Entry entry = held.get(version);
    if (entry != null && entry.sequence() < sequence) {
      held.remove(version);
    }
  }

  /** Returns whether a later release of the gateway arrived before the message. */
  private boolean isSuperseded(HostIncarnation gateway, long sequence) {
    return sequence < releaseSequences.getOrDefault(gateway, Long.MIN_VALUE);
  }

  private long pinnedUntilMillis(long untilMillis) {
    return untilMillis + settings.maximumRequestMillis() + settings.driftMarginMillis();
  }

  private void removeEmptyGateways() {
    Iterator<Map<AdapterVersion, Entry>> iterator = entries.values().iterator();
    while (iterator.hasNext()) {
      if (iterator.next().isEmpty()) {
        iterator.remove();
      }
    }
  }

  private record Entry(long sequence, long validUntilMillis, long pinnedUntilMillis) {

    Entry mergedWith(Entry other) {
      return new Entry(
          Math.max(sequence, other.sequence),
          Math.max(validUntilMillis, other.validUntilMillis),
          Math.max(pinnedUntilMillis, other.pinnedUntilMillis));
    }

    Entry endedAt(long nowMillis, long pinUntilMillis) {
      return new Entry(
          sequence,
          Math.min(validUntilMillis, nowMillis),
          Math.min(pinnedUntilMillis, pinUntilMillis));
    }
  }
}
