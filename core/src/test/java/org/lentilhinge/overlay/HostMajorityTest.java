package org.lentilhinge.overlay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.lentilhinge.permit.OwnershipClaims;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that at most one part of a partitioned network takes itself for the majority. */
public class HostMajorityTest {

  private static final long START_MILLIS = 8_000;

  /**
   * The earliest takeover after a partition: the wait after a claim of the owner (3.7 s), less the
   * interval of the claims (1 s) and their way over a relay (0.2 s).
   */
  private static final long EARLIEST_TAKEOVER_MILLIS = 2_500;

  /** The time for which silent hosts count, with the time until they are lost. */
  private static final long SILENT_HOST_MILLIS = 33_000;

  private static final int SEEDS = 300;

  @DataProvider
  public static Object[][] sizes() {
    return new Object[][] {{2}, {3}, {8}, {24}, {95}};
  }

  private static boolean isInMajority(OverlaySimulation simulation, String host) {
    return simulation.overlay(host).majority().millisWithout(simulation.now()) == 0;
  }

  @Test
  public void firstHostDecidesBetweenHalves() {
    assertTrue(HostMajority.isMajority(Set.of("a", "d"), Set.of("b", "c")));
    assertFalse(HostMajority.isMajority(Set.of("b", "c"), Set.of("a", "d")));
    assertTrue(HostMajority.isMajority(Set.of("b", "c"), Set.of("a")));
    assertTrue(HostMajority.isMajority(Set.of("b"), Set.of()));
  }

  @Test(dataProvider = "sizes")
  public void allHostsAreInMajorityWithoutPartition(int size) {
    OverlaySimulation simulation = new OverlaySimulation(size, size);
    simulation.run(START_MILLIS);
    for (String host : simulation.names()) {
      assertTrue(isInMajority(simulation, host), host);
    }
  }

  // An owner that was cut off from all hosts went on ordering an engine beside its next owner.
  @Test(dataProvider = "sizes")
  public void hostThatIsCutOffLosesMajorityBeforeTakeover(int size) {
    OverlaySimulation simulation = new OverlaySimulation(size, size);
    simulation.run(START_MILLIS);
    String isolated = simulation.names().get(size - 1);
    simulation.cut(Set.of(isolated));
    simulation.run(EARLIEST_TAKEOVER_MILLIS);
    for (long waited = 0; waited < 20_000; waited += 50, simulation.run(50)) {
      assertFalse(isInMajority(simulation, isolated), "after " + waited + " ms");
    }
    simulation.heal();
    simulation.run(START_MILLIS);
    assertTrue(isInMajority(simulation, isolated));
  }

  // An owner that heard all hosts and was heard by none went on ordering beside its next owner.
  @Test(dataProvider = "sizes")
  public void hostThatNobodyHearsLosesMajorityBeforeTakeover(int size) {
    OverlaySimulation simulation = new OverlaySimulation(size, size);
    simulation.run(START_MILLIS);
    String mute = simulation.names().get(size - 1);
    List<String> others = new ArrayList<>(simulation.names());
    others.remove(mute);
    simulation.mute(mute);
    while (others.stream().anyMatch(host -> simulation.view(host).contains(mute))) {
      simulation.run(50);
      assertTrue(simulation.now() < START_MILLIS + 10_000, "never lost");
    }
    simulation.run(OwnershipClaims.LOST_HOST_MILLIS);
    for (long waited = 0; waited < 10_000; waited += 50, simulation.run(50)) {
      assertFalse(isInMajority(simulation, mute), "after " + waited + " ms");
    }
    simulation.heal();
    simulation.run(START_MILLIS);
    assertTrue(isInMajority(simulation, mute));
  }

  // An engine that joined while hosts were cut off from each other was ordered by both parts.
  @Test
  public void onePartAtMostIsMajority() {
    int majorities = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      int size = 2 + random.nextInt(seed % 5 == 0 ? 94 : 12);
      OverlaySimulation simulation = new OverlaySimulation(seed, size);
      simulation.run(START_MILLIS);
      List<String> names = new ArrayList<>(simulation.names());
      Collections.shuffle(names, random);
      Set<String> part = new HashSet<>(names.subList(0, random.nextInt(size)));
      simulation.cut(part);
      simulation.run(EARLIEST_TAKEOVER_MILLIS);
      for (long waited = 0; waited < 8_000; waited += 200, simulation.run(200)) {
        Set<Boolean> parts = new HashSet<>();
        for (String host : names) {
          if (isInMajority(simulation, host)) {
            parts.add(part.contains(host));
          }
        }
        assertTrue(parts.size() <= 1, "seed " + seed + " after " + waited + " ms");
        majorities += parts.size();
      }
    }
    // A majority that is never found would stop all takeovers.
    assertTrue(majorities > SEEDS * 38, "too few majorities: " + majorities);
  }

  @Test
  public void hostThatRestartsBehindPartitionIsNotMajority() {
    OverlaySimulation simulation = new OverlaySimulation(3, 8);
    simulation.run(START_MILLIS);
    String host = simulation.names().get(7);
    simulation.cut(Set.of(host));
    simulation.kill(host);
    simulation.start(host, 0);
    simulation.run(START_MILLIS);
    assertFalse(isInMajority(simulation, host));
  }

  @Test
  public void lastHostIsMajorityOnceTheOthersAreSilentForLong() {
    OverlaySimulation simulation = new OverlaySimulation(4, 8);
    simulation.run(START_MILLIS);
    simulation.names().stream().skip(1).forEach(simulation::kill);
    String last = simulation.names().get(0);
    simulation.run(START_MILLIS);
    assertFalse(isInMajority(simulation, last));
    simulation.run(SILENT_HOST_MILLIS - START_MILLIS);
    assertTrue(isInMajority(simulation, last));
  }

  @Test
  public void hostsThatLeaveDoNotCount() {
    OverlaySimulation simulation = new OverlaySimulation(5, 8);
    simulation.run(START_MILLIS);
    simulation.names().stream().skip(2).forEach(simulation::leave);
    simulation.run(1_000);
    simulation.names().stream().skip(2).forEach(simulation::kill);
    for (long waited = 0; waited < 10_000; waited += 50) {
      simulation.run(50);
      assertEquals(
          isInMajority(simulation, simulation.names().get(1)), true, "after " + waited + " ms");
    }
  }

  // Guards against a host that keeps to seeds which ended before it started, and ignores new ones.
  @Test
  public void seedThatIsNamedLaterCountsAsOneThatMayRun() {
    OverlaySimulation simulation = newHostWithDeadSeeds();
    String last = simulation.names().get(3);
    simulation.run(40_000);
    assertTrue(isInMajority(simulation, last));
    simulation.overlay(last).setSeeds(List.of("10.0.9.1", "10.0.9.2"));
    simulation.run(1_000);
    assertFalse(isInMajority(simulation, last));
    simulation.run(40_000);
    assertTrue(isInMajority(simulation, last));
  }

  // Guards against a part that takes itself for the whole because the others are silent for long.
  @Test
  public void majorityBySilenceAloneIsNotCertain() {
    OverlaySimulation simulation = new OverlaySimulation(7, 8);
    simulation.run(START_MILLIS);
    Set<String> minority = Set.copyOf(simulation.names().subList(0, 3));
    simulation.cut(minority);
    simulation.run(START_MILLIS + SILENT_HOST_MILLIS);
    for (String host : simulation.names()) {
      assertTrue(isInMajority(simulation, host), host);
      boolean certain = simulation.overlay(host).majority().isCertain();
      assertEquals(certain, !minority.contains(host), host);
    }
    simulation.heal();
    simulation.run(START_MILLIS);
    for (String host : simulation.names()) {
      assertTrue(simulation.overlay(host).majority().isCertain(), host);
    }
  }

  // Guards against a host that is alone and loads no adapters for 30 s (RECOVER).
  @Test
  public void seedsThatRefuseConnectionsCountForLessTime() {
    OverlaySimulation simulation = newHostWithDeadSeeds();
    String host = simulation.names().get(3);
    HostMajority majority = simulation.overlay(host).majority();
    for (long waited = 0; waited < 8_000; waited += 500, simulation.run(500)) {
      assertFalse(waited < 7_000 && isInMajority(simulation, host), "after " + waited + " ms");
      simulation.names().forEach(seed -> majority.recordRefusal(seed, simulation.now()));
    }
    assertTrue(isInMajority(simulation, host));
    assertFalse(majority.isCertain());
  }

  @Test
  public void seedsThatDoNotRespondCountAsRunning() {
    OverlaySimulation simulation = newHostWithDeadSeeds();
    String host = simulation.names().get(3);
    HostMajority majority = simulation.overlay(host).majority();
    simulation.names().forEach(seed -> majority.recordRefusal(seed, simulation.now()));
    majority.recordNoResponse(simulation.names().get(0));
    simulation.run(4_000);
    simulation.names().forEach(seed -> majority.recordRefusal(seed, simulation.now()));
    majority.recordNoResponse(simulation.names().get(0));
    simulation.run(4_000);
    assertFalse(isInMajority(simulation, host));
  }

  // Guards against a host that goes on although another one, which it cannot find, orders engines.
  @Test
  public void orderOfUnknownHostShowsThatThisOneIsNotAlone() {
    OverlaySimulation simulation = newHostWithDeadSeeds();
    String host = simulation.names().get(3);
    simulation.run(SILENT_HOST_MILLIS);
    assertTrue(isInMajority(simulation, host));
    simulation.overlay(host).majority().recordOrderElsewhere(simulation.now());
    simulation.run(START_MILLIS);
    assertFalse(isInMajority(simulation, host));
    simulation.run(SILENT_HOST_MILLIS);
    assertTrue(isInMajority(simulation, host));
  }

  /** Starts the last of four hosts once the others, which are its seeds, have ended. */
  private static OverlaySimulation newHostWithDeadSeeds() {
    OverlaySimulation simulation = new OverlaySimulation(8, 4);
    simulation.run(400);
    simulation.names().forEach(simulation::kill);
    simulation.run(500);
    simulation.start(simulation.names().get(3), 0);
    simulation.run(100);
    return simulation;
  }
}
