package org.lentilhinge.follow;

import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.lentilhinge.identity.HostId;
import org.testng.annotations.Test;

/** Tests the random selection of peers. */
public class PeerVersionsTest {

  private static final int SEEDS = 300;
  private static final int CHANGES = 20;

  private static Set<HostId> randomHosts(Random random, String zone) {
    Set<HostId> hosts = new HashSet<>();
    for (int count = random.nextInt(30); count > 0; count--) {
      hosts.add(new HostId(zone + "-host" + random.nextInt(100)));
    }
    return Set.copyOf(hosts);
  }

  /** The selection by sorting at each call. */
  private static Optional<HostId> select(Set<HostId> peers, Random random) {
    return peers.isEmpty()
        ? Optional.empty()
        : peers.stream().sorted().skip(random.nextInt(peers.size())).findFirst();
  }

  // Runs in virtual time repeat only if the same seed selects the same peers in the same order.
  @Test
  public void selectsTheSamePeersAsSortingAtEachCall() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      Random expectedRandom = new Random(seed);
      Random history = new Random(~seed);
      PeerVersions peers = new PeerVersions(random);
      assertEquals(peers.randomZonePeer(), Optional.empty());
      for (int change = 0; change < CHANGES; change++) {
        Set<HostId> zone = randomHosts(history, "zone");
        Set<HostId> outside = randomHosts(history, "outside");
        peers.updatePeers(zone, outside);
        for (int calls = history.nextInt(20); calls > 0; calls--) {
          String when = "seed " + seed + ", change " + change;
          assertEquals(peers.randomZonePeer(), select(zone, expectedRandom), when);
          assertEquals(peers.randomOutsidePeer(), select(outside, expectedRandom), when);
        }
      }
    }
  }
}
