package org.lentilhinge.host;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.lentilhinge.configuration.Zone;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.membership.MemberState;
import org.lentilhinge.membership.Membership;

/** Selects hosts by their membership state and by the regions of the configuration. */
final class KnownHosts implements Recipients {

  private static final long REFRESH_INTERVAL_MILLIS = 200;

  private final Membership membership;
  private final ZoneId zone;
  private final EventTime time;
  private Map<ZoneId, Zone> zones = Map.of();
  private List<HostId> zoneHosts = List.of();
  private List<HostId> regionHosts = List.of();
  private List<HostId> remoteRegionHosts = List.of();
  private long nextRefreshAtMillis = Long.MIN_VALUE;

  KnownHosts(Membership membership, ZoneId zone, EventTime time) {
    this.membership = membership;
    this.zone = zone;
    this.time = time;
  }

  void configure(Map<ZoneId, Zone> declared) {
    zones = declared;
    nextRefreshAtMillis = Long.MIN_VALUE;
  }

  @Override
  public Collection<HostId> allHosts() {
    return membership.known();
  }

  @Override
  public Collection<HostId> zoneHosts() {
    refresh();
    return zoneHosts;
  }

  @Override
  public Collection<HostId> regionHosts() {
    refresh();
    return regionHosts;
  }

  @Override
  public Collection<HostId> remoteRegionHosts() {
    refresh();
    return remoteRegionHosts;
  }

  /** Updates the lists at intervals only, because announcements are frequent. */
  private void refresh() {
    if (time.nowMillis() < nextRefreshAtMillis) {
      return;
    }
    nextRefreshAtMillis = time.nowMillis() + REFRESH_INTERVAL_MILLIS;
    zoneHosts = reachable(zone::equals);
    regionHosts = reachable(this::isInLocalRegion);
    remoteRegionHosts = reachable(zoneId -> !isInLocalRegion(zoneId));
  }

  private List<HostId> reachable(Predicate<ZoneId> inScope) {
    return membership.known().stream()
        .filter(host -> membership.state(host, time.nowMillis()) != MemberState.GONE)
        .filter(host -> inScope.test(zoneOf(host)))
        .toList();
  }

  private ZoneId zoneOf(HostId host) {
    return membership.listing(host).map(ListedHost::zone).orElse(zone);
  }

  private boolean isInLocalRegion(ZoneId other) {
    Optional<Zone> localZone = Optional.ofNullable(zones.get(zone));
    Optional<Zone> otherZone = Optional.ofNullable(zones.get(other));
    return other.equals(zone)
        || localZone.isPresent()
            && otherZone.isPresent()
            && localZone.get().region().equals(otherZone.get().region());
  }
}
