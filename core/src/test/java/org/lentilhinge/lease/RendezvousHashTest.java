package org.lentilhinge.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.identity.HostId;
import org.testng.annotations.Test;

/** Tests the selection of hosts. */
public class RendezvousHashTest {

  private static final int KEYS = 22_000;

  @Test
  public void computesKnownHashes() {
    assertEquals(RendezvousHash.mix(1), 0x5692161d100b05e5L);
    assertEquals(RendezvousHash.hash(""), RendezvousHash.mix(0xcbf29ce484222325L));
  }

  @Test
  public void distributesKeysEvenlyAndMovesOnlyThoseOfRemovedHosts() {
    List<HostId> hosts = new ArrayList<>();
    for (int index = 0; index < 22; index++) {
      hosts.add(new HostId("host-" + index));
    }
    List<HostId> others = hosts.subList(1, hosts.size());
    Map<HostId, Integer> counts = new HashMap<>();
    for (int key = 0; key < KEYS; key++) {
      HostId first = RendezvousHash.first("engine-" + key, hosts).orElseThrow();
      assertEquals(RendezvousHash.ranked("engine-" + key, hosts).get(0), first);
      counts.merge(first, 1, Integer::sum);
      if (!first.equals(hosts.get(0))) {
        assertEquals(RendezvousHash.first("engine-" + key, others).orElseThrow(), first);
      }
    }
    for (HostId host : hosts) {
      assertTrue(Math.abs(counts.get(host) - 1_000) < 150, host + " " + counts.get(host));
    }
  }
}
