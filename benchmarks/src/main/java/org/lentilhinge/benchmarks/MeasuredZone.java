package org.lentilhinge.benchmarks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.lease.LeaseSettings;
import org.lentilhinge.lease.OwnershipCommand;
import org.lentilhinge.lease.ZoneOwnership;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.membership.Membership;
import org.lentilhinge.membership.MembershipCommand;
import org.lentilhinge.membership.MembershipSettings;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.runtime.host.HostMessages;
import org.lentilhinge.runtime.peer.MessageCodec;

/** Runs the hosts of one zone in virtual time and counts the messages that the hosts send. */
final class MeasuredZone {

  private static final int LENGTH_PREFIX_BYTES = 4;
  private static final long TICK_MILLIS = 250;
  private static final long STARTED_AT_MILLIS = 1_764_800_000_000L;

  private final ZoneId id = new ZoneId("zone-0");
  private final Map<HostId, Membership> memberships = new TreeMap<>();
  private final Map<HostId, ZoneOwnership> ownerships = new TreeMap<>();
  private final Map<String, long[]> counts = new TreeMap<>();
  private final Deque<Runnable> deliveries = new ArrayDeque<>();
  private final MessageCodec codec = new MessageCodec(HostMessages.registry());
  private boolean counting;
  private long nowMillis;

  MeasuredZone(int hosts, int endpoints, int zones) {
    List<ListedHost> listed = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      for (int host = 0; host < hosts; host++) {
        HostId name = new HostId("host-" + zone + "-" + host);
        listed.add(new ListedHost(name, new ZoneId("zone-" + zone), "10.0.0.1:7000", false));
      }
    }
    Map<EndpointId, FencingSupport> fencing = new TreeMap<>();
    for (int index = 0; index < endpoints; index++) {
      fencing.put(new EndpointId("engine-" + index), FencingSupport.CHECKED);
    }
    listed.subList(0, hosts).forEach(host -> add(host.host(), listed, fencing));
  }

  Map<String, long[]> counts() {
    return counts;
  }

  /** Starts counting messages and their encoded bytes. */
  void startCounting() {
    counting = true;
  }

  void run(long millis) {
    long endMillis = nowMillis + millis;
    while (nowMillis < endMillis) {
      memberships.keySet().forEach(this::tick);
      nowMillis += TICK_MILLIS;
    }
  }

  private void add(HostId host, List<ListedHost> listed, Map<EndpointId, FencingSupport> fencing) {
    HostIncarnation self = new HostIncarnation(host, STARTED_AT_MILLIS);
    MembershipSettings settings = MembershipSettings.defaults();
    memberships.put(host, new Membership(self, id, listed, settings, 0));
    ZoneOwnership ownership = new ZoneOwnership(self, LeaseSettings.defaults(), 0);
    ownership.onEndpoints(fencing, 0);
    ownerships.put(host, ownership);
  }

  private void tick(HostId host) {
    Membership membership = memberships.get(host);
    ZoneOwnership ownership = ownerships.get(host);
    executeMembership(host, membership.onTick(nowMillis));
    executeOwnership(host, ownership.onHostList(membership.listed(id), nowMillis));
    executeOwnership(host, ownership.onLiveHosts(membership.live(id, nowMillis), nowMillis));
    executeOwnership(host, ownership.onTick(nowMillis));
    while (!deliveries.isEmpty()) {
      deliveries.remove().run();
    }
  }

  private void executeMembership(HostId from, List<MembershipCommand> commands) {
    for (MembershipCommand command : commands) {
      if (command instanceof MembershipCommand.Send send) {
        send(from, send.to(), send.message());
      }
    }
  }

  private void executeOwnership(HostId from, List<OwnershipCommand> commands) {
    for (OwnershipCommand command : commands) {
      if (command instanceof OwnershipCommand.Send send) {
        send(from, send.to(), send.message());
      }
    }
  }

  private void send(HostId from, HostId to, PeerMessage message) {
    if (counting) {
      String type = message.getClass().getSimpleName();
      long[] count = counts.computeIfAbsent(type, absent -> new long[2]);
      count[0]++;
      count[1] += codec.encode(message).length + LENGTH_PREFIX_BYTES;
    }
    if (memberships.containsKey(to)) {
      deliveries.add(() -> deliver(from, to, message));
    }
  }

  private void deliver(HostId from, HostId to, PeerMessage message) {
    executeMembership(to, memberships.get(to).onMessage(from, message, nowMillis));
    executeOwnership(to, ownerships.get(to).onMessage(message, nowMillis));
  }
}
