package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.overlay.OverlayCommand;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that engine statuses reach all hosts in few messages. */
public class StatusRelayTest {

  private static final int ZONES = 6;

  private final Map<String, HostRecord> hosts = new TreeMap<>();
  private final Map<String, StatusRelay> relays = new HashMap<>();
  private final Map<String, Set<String>> known = new HashMap<>();
  private int messages;

  @DataProvider
  public static Object[][] sizes() {
    return new Object[][] {{1}, {8}, {24}, {95}, {420}};
  }

  private StatusRelayTest fleet(int size) {
    StatusRelayTest fleet = new StatusRelayTest();
    for (int index = 0; index < size; index++) {
      String name = "10.0." + index / 100 + "." + index % 100;
      HostRecord host = new HostRecord(name, "zone-" + index % ZONES, "region", 1, 1, false);
      fleet.hosts.put(name, host);
      fleet.relays.put(name, new StatusRelay(host));
      fleet.known.put(name, new HashSet<>());
    }
    return fleet;
  }

  private List<HostRecord> others(String host) {
    List<HostRecord> others = new ArrayList<>(hosts.values());
    others.remove(hosts.get(host));
    return others;
  }

  private static EngineStatus status(String engine, long backlogMillis) {
    return new EngineStatus(engine, true, List.of("a1"), backlogMillis, 2, 0);
  }

  private void publish(String host, EngineStatus status, Predicate<String> reachable, long now) {
    OrderCount count = new OrderCount(status.incarnation(), 3, 100);
    deliver(
        relays
            .get(host)
            .publish(
                List.of(status), List.of(count), Optional.empty(), others(host), reachable, now));
  }

  private void publishFromAll(long now) {
    hosts.keySet().forEach(host -> publish(host, status("e-" + host, 0), other -> true, now));
  }

  private void flushAll() {
    hosts.keySet().forEach(host -> deliver(relays.get(host).flush(others(host))));
  }

  private void deliver(List<OverlayCommand.Send> sent) {
    for (OverlayCommand.Send send : sent) {
      messages++;
      EngineStatuses statuses = (EngineStatuses) send.message();
      relays.get(send.host()).receive(statuses);
      statuses.owners().forEach(owner -> known.get(send.host()).add(owner.host()));
    }
  }

  @Test(dataProvider = "sizes")
  public void statusesReachAllHostsInTwoSteps(int size) {
    StatusRelayTest fleet = fleet(size);
    fleet.publishFromAll(0);
    fleet.flushAll();
    for (String host : fleet.hosts.keySet()) {
      Set<String> expected = new HashSet<>(fleet.hosts.keySet());
      expected.remove(host);
      Set<String> heard = new HashSet<>(fleet.known.get(host));
      heard.remove(host);
      assertEquals(heard, expected, host);
    }
  }

  @Test(dataProvider = "sizes")
  public void messagesGrowWithZonesAndNotWithSquareOfHosts(int size) {
    StatusRelayTest fleet = fleet(size);
    fleet.publishFromAll(0);
    fleet.flushAll();
    // One message to a relay in each zone, or to each of at most four hosts in it, and two from the
    // relays to each host.
    assertTrue(fleet.messages <= size * (ZONES * 4 + 2), fleet.messages + " messages");
    if (size > 24) {
      assertTrue(fleet.messages <= size * (ZONES + 2), fleet.messages + " messages");
    }
  }

  @Test
  public void unchangedStatusIsSentOncePerSecond() {
    StatusRelayTest fleet = fleet(8);
    String host = fleet.hosts.keySet().iterator().next();
    fleet.publish(host, status("e", 100), other -> true, 0);
    int first = fleet.messages;
    for (long now = 200; now < 1_000; now += 200) {
      fleet.publish(host, status("e", 105), other -> true, now);
    }
    assertEquals(fleet.messages, first);
    fleet.publish(host, status("e", 105), other -> true, 1_000);
    assertEquals(fleet.messages, 2 * first);
  }

  @Test
  public void changedStatusIsSentAtOnce() {
    StatusRelayTest fleet = fleet(8);
    String host = fleet.hosts.keySet().iterator().next();
    fleet.publish(host, status("e", 100), other -> true, 0);
    int first = fleet.messages;
    fleet.publish(host, status("e", 200), other -> true, 200);
    assertEquals(fleet.messages, 2 * first);
    EngineStatus adapterGone = new EngineStatus("e", true, List.of(), 200, 3, 0);
    fleet.publish(host, adapterGone, other -> true, 400);
    assertEquals(fleet.messages, 3 * first);
  }

  @Test
  public void unreachableRelayIsReplaced() {
    StatusRelayTest fleet = fleet(95);
    String host = fleet.hosts.keySet().iterator().next();
    fleet.publish(host, status("e", 0), other -> true, 0);
    Set<String> relaysBefore = new HashSet<>();
    fleet.known.forEach(
        (name, owners) -> {
          if (owners.contains(host)) {
            relaysBefore.add(name);
          }
        });
    fleet.publish(host, status("e", 500), other -> !relaysBefore.contains(other), 200);
    fleet.flushAll();
    Set<String> reached = new HashSet<>();
    fleet.known.forEach(
        (name, owners) -> {
          if (owners.contains(host)) {
            reached.add(name);
          }
        });
    assertTrue(reached.containsAll(fleet.hosts.keySet().stream().skip(1).toList()));
    assertFalse(relaysBefore.isEmpty());
  }
}
