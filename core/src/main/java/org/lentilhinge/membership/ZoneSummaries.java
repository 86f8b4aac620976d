package org.lentilhinge.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.message.PeerMessage;

/**
 * Exchanges summaries with other zones. For each pair of zones, a few delegates on either side send
 * and receive them. A delegate forwards changed summaries within its zone.
 */
final class ZoneSummaries {

  private final HostId self;
  private final ZoneId zone;
  private final int delegates;
  private final Map<ZoneId, ZoneSummary> received = new TreeMap<>();

  ZoneSummaries(HostId self, ZoneId zone, int delegates) {
    this.self = self;
    this.zone = zone;
    this.delegates = delegates;
  }

  Optional<ZoneSummary> latest(ZoneId other) {
    return Optional.ofNullable(received.get(other));
  }

  /** Returns the incarnation of a host in a list of a summary. */
  static Optional<HostIncarnation> find(Collection<HostIncarnation> hosts, HostId host) {
    return hosts.stream().filter(incarnation -> incarnation.host().equals(host)).findFirst();
  }

  /** Sends this zone's summary to another zone, if this host is a delegate for that zone. */
  List<MembershipCommand> send(
      ZoneSummary own, ZoneId other, Collection<HostId> ownHosts, Collection<HostId> otherHosts) {
    String pair = zone + ">" + other;
    if (!RendezvousHash.ranked(pair, ownHosts).stream().limit(delegates).toList().contains(self)) {
      return List.of();
    }
    return RendezvousHash.ranked(pair, otherHosts).stream()
        .limit(delegates)
        .map(to -> send(to, own))
        .toList();
  }

  /**
   * Handles a summary. Requests the full summary if only its digest was sent and has changed, and
   * forwards a changed summary within this zone if the sender is in the summarized zone.
   */
  List<MembershipCommand> onSummary(
      ZoneSummary summary, HostId from, ZoneId fromZone, Collection<HostId> zoneHosts) {
    ZoneSummary previous = received.get(summary.zone());
    boolean changed = previous == null || previous.digest() != summary.digest();
    if (summary.zone().equals(zone) || !changed) {
      return List.of();
    }
    if (!summary.full()) {
      return List.of(send(from, new ZoneSummaryRequest(self, summary.zone())));
    }
    received.put(summary.zone(), summary);
    List<MembershipCommand> commands = new ArrayList<>();
    if (fromZone.equals(summary.zone())) {
      zoneHosts.stream()
          .filter(host -> !host.equals(self))
          .forEach(host -> commands.add(send(host, summary)));
    }
    return commands;
  }

  /**
   * Sends all received summaries to a host that has just started, if this host ranks first among
   * the zone's hosts for that host, so that only one host sends them.
   */
  List<MembershipCommand> sendAllTo(HostId started, Collection<HostId> zoneHosts) {
    List<HostId> others = zoneHosts.stream().filter(host -> !host.equals(started)).toList();
    if (RendezvousHash.first(started.value(), others).filter(self::equals).isEmpty()) {
      return List.of();
    }
    return received.values().stream().map(summary -> send(started, summary)).toList();
  }

  private static MembershipCommand send(HostId to, PeerMessage message) {
    return new MembershipCommand.Send(to, message);
  }
}
