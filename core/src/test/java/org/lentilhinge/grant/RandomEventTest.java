package org.lentilhinge.grant;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.testng.annotations.Test;

/**
 * Injects random failures into zones of two to four hosts and checks after every event that an
 * endpoint has at most one owner, that no version is evicted while a request runs on it, and that
 * fencing tokens increase from owner to owner.
 */
public class RandomEventTest {

  private static final int SEEDS = 500;
  private static final long FAULT_PERIOD_MILLIS = 90_000;
  private static final long RECOVERY_PERIOD_MILLIS = 65_000;
  private static final int MAXIMUM_LIST_DELAY_MILLIS = 8_000;
  private static final int MAXIMUM_PAUSE_MILLIS = 14_000;
  private static final long POPULARITY_SHIFT_MILLIS = 5_000;

  @Test
  public void keepsTheInvariants() {
    List<VirtualNetwork> networks =
        LongStream.rangeClosed(1, SEEDS).parallel().mapToObj(RandomEventTest::run).toList();
    int dispatched = networks.stream().mapToInt(network -> network.dispatched).sum();
    int unloads = networks.stream().mapToInt(RandomEventTest::unloads).sum();
    assertTrue(dispatched > SEEDS * 100, "requests dispatched: " + dispatched);
    assertTrue(unloads > SEEDS * 10, "versions evicted: " + unloads);
  }

  private static int unloads(VirtualNetwork network) {
    return network.engines.values().stream().mapToInt(engine -> engine.unloads).sum();
  }

  private static VirtualNetwork run(long seed) {
    VirtualNetwork network = new VirtualNetwork(seed);
    try {
      new RandomEvents(network).run();
      return network;
    } catch (AssertionError | RuntimeException failure) {
      String trace = String.join("\n  ", network.trace);
      throw new AssertionError("seed " + seed + ": " + failure + "\n  " + trace, failure);
    }
  }

  /** A sequence of random events and requests in one zone. */
  private static final class RandomEvents {
    private final VirtualNetwork network;
    private final List<HostId> listedHosts = new ArrayList<>();
    private final Set<HostId> removed = new HashSet<>();
    private final int zoneSize;
    private int createdHosts;

    RandomEvents(VirtualNetwork network) {
      this.network = network;
      this.zoneSize = 2 + network.random.nextInt(3);
    }

    void run() {
      network.addEngine("checked", FencingSupport.CHECKED);
      network.addEngine("ignoring", FencingSupport.IGNORED);
      for (int count = 0; count < zoneSize; count++) {
        addHost();
      }
      network.deliverList(listedHosts);
      network.dropRate = network.random.nextDouble() * 0.1;
      network.slowRate = network.random.nextDouble() * 0.3;
      while (network.nowMillis() < FAULT_PERIOD_MILLIS) {
        network.runUntil(network.nowMillis() + network.random.nextInt(300));
        if (network.random.nextInt(40) == 0) {
          injectFault();
        }
        request();
      }
      verifyRecovery();
    }

    private void verifyRecovery() {
      network.brokenLinks.clear();
      network.dropRate = 0;
      network.slowRate = 0;
      listedHosts.clear();
      network.hosts.keySet().removeIf(host -> removed.contains(host));
      listedHosts.addAll(network.hosts.keySet());
      long endMillis = network.nowMillis() + RECOVERY_PERIOD_MILLIS;
      while (network.nowMillis() < endMillis) {
        network.deliverList(listedHosts);
        network.runUntil(network.nowMillis() + 5_000);
      }
      for (EndpointId endpoint : network.engines.keySet()) {
        assertEquals(network.hostsThatMayOrder(endpoint).size(), 1, "owners of " + endpoint);
      }
    }

    private void request() {
      List<VirtualHost> hosts = List.copyOf(network.hosts.values());
      VirtualHost host = hosts.get(network.random.nextInt(hosts.size()));
      List<EndpointId> endpoints = List.copyOf(network.engines.keySet());
      EndpointId endpoint = endpoints.get(network.random.nextInt(endpoints.size()));
      long shift = network.nowMillis() / POPULARITY_SHIFT_MILLIS + network.random.nextInt(3);
      AdapterVersion version = new AdapterVersion(new AdapterId("adapter-" + shift % 7), 1);
      if (network.nowMillis() >= host.pausedUntilMillis) {
        host.request(endpoint, version);
      }
    }

    private void injectFault() {
      List<HostId> hosts = List.copyOf(network.hosts.keySet());
      HostId host = hosts.get(network.random.nextInt(hosts.size()));
      HostId other = hosts.get(network.random.nextInt(hosts.size()));
      switch (network.random.nextInt(8)) {
        case 0 -> stop(host, false);
        case 1 -> restart(host);
        case 2 -> replace(host);
        case 3 -> network.brokenLinks.add(List.of(host, other));
        case 4, 5 -> network.brokenLinks.clear();
        case 6 -> stop(host, true);
        default -> deliverList();
      }
    }

    /**
     * Stops a host for a random time, either with its monotonic clock or with the clock running.
     */
    private void stop(HostId host, boolean suspended) {
      VirtualHost stopped = network.hosts.get(host);
      long millis = network.random.nextInt(MAXIMUM_PAUSE_MILLIS);
      if (network.nowMillis() < stopped.pausedUntilMillis) {
        return;
      }
      network.trace((suspended ? "suspend " : "pause ") + host + " for " + millis);
      if (suspended) {
        stopped.suspend(millis);
      } else {
        stopped.pausedUntilMillis = network.nowMillis() + millis;
      }
    }

    private void restart(HostId host) {
      network.trace("restart " + host);
      network.deliverList(network.start(host.value()), listedHosts);
    }

    /** Replaces a host, with or without a planned stop, and changes the list accordingly. */
    private void replace(HostId host) {
      network.trace("replace " + host);
      VirtualHost replaced = network.hosts.get(host);
      if (network.random.nextBoolean() && network.nowMillis() >= replaced.pausedUntilMillis) {
        replaced.leave();
      }
      long killAtMillis = network.nowMillis() + network.random.nextInt(15_000);
      network.schedule(killAtMillis, () -> network.kill(replaced));
      removed.add(host);
      listedHosts.remove(host);
      addHost();
      deliverList();
    }

    /** Delivers the list to each host after a separate random delay. */
    private void deliverList() {
      List<HostId> delivered = List.copyOf(listedHosts);
      for (VirtualHost host : network.hosts.values()) {
        long deliverAtMillis =
            network.nowMillis() + network.random.nextInt(MAXIMUM_LIST_DELAY_MILLIS);
        network.schedule(deliverAtMillis, () -> network.deliverList(host, delivered));
      }
    }

    private void addHost() {
      HostId name = new HostId("host-" + createdHosts++);
      listedHosts.add(name);
      network.deliverList(network.start(name.value()), listedHosts);
    }
  }
}
