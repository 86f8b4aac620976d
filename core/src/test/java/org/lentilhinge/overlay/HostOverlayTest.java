package org.lentilhinge.overlay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the membership of many hosts in virtual time. */
public class HostOverlayTest {

  /** The bound for a host's loss to be known everywhere: less than the lease of 3 s. */
  private static final long LOSS_BOUND_MILLIS = 3_000;

  /** The bound for all views to agree after the last disturbance. */
  private static final long AGREEMENT_BOUND_MILLIS = 8_000;

  private static final long START_MILLIS = 4_000;

  @DataProvider
  public static Object[][] sizes() {
    return new Object[][] {{2}, {8}, {24}, {95}, {420}};
  }

  private static void assertViewsAgree(OverlaySimulation simulation, String when) {
    Set<String> running = simulation.running();
    for (String host : running) {
      assertEquals(simulation.view(host), running, host + " " + when);
    }
  }

  @Test(dataProvider = "sizes")
  public void allHostsFindEachOtherFromThreeSeeds(int size) {
    OverlaySimulation simulation = new OverlaySimulation(size, size);
    simulation.run(START_MILLIS);
    assertViewsAgree(simulation, "after the start");
  }

  @Test(dataProvider = "sizes")
  public void messagesOfHostGrowWithLogarithmOfHosts(int size) {
    OverlaySimulation simulation = new OverlaySimulation(1, size);
    simulation.run(START_MILLIS * 2);
    long before = simulation.sentMessages;
    simulation.run(10_000);
    double perHostSecond = (simulation.sentMessages - before) / 10.0 / size;
    double neighbors = size <= 9 ? size - 1 : Math.ceil(Math.log(size) / Math.log(2));
    // 3.3 heartbeats a neighbor, half a probe with its response, and no more than one other.
    assertTrue(perHostSecond <= 3.4 * neighbors + 2, perHostSecond + " messages a second");
  }

  @Test(dataProvider = "sizes")
  public void killedHostIsLostEverywhereWithinBound(int size) {
    OverlaySimulation simulation = new OverlaySimulation(2, size);
    simulation.run(START_MILLIS * 2);
    simulation.kill(simulation.names().get(size / 2));
    simulation.run(LOSS_BOUND_MILLIS);
    assertViewsAgree(simulation, "after a kill");
  }

  @Test
  public void halfOfHostsKilledAtOnceAreLost() {
    OverlaySimulation simulation = new OverlaySimulation(3, 95);
    simulation.run(START_MILLIS * 2);
    Random random = new Random(3);
    simulation.names().stream()
        .filter(name -> random.nextDouble() < 0.55)
        .forEach(simulation::kill);
    simulation.run(AGREEMENT_BOUND_MILLIS);
    assertViewsAgree(simulation, "after the kills");
  }

  @Test
  public void restartedHostWithEarlierClockIsKnownByItsNewLife() {
    OverlaySimulation simulation = new OverlaySimulation(4, 95);
    simulation.run(START_MILLIS * 2);
    String restarted = simulation.names().get(40);
    simulation.kill(restarted);
    simulation.run(500);
    simulation.start(restarted, -3_600_000);
    simulation.run(AGREEMENT_BOUND_MILLIS);
    assertViewsAgree(simulation, "after the restart");
    long life = lifeAt(simulation, simulation.names().get(1), restarted);
    for (String host : simulation.names()) {
      if (!host.equals(restarted)) {
        assertEquals(lifeAt(simulation, host, restarted), life, host);
      }
    }
  }

  private static long lifeAt(OverlaySimulation simulation, String host, String other) {
    return simulation.overlay(host).liveHosts().stream()
        .filter(entry -> entry.host().equals(other))
        .findFirst()
        .orElseThrow()
        .life();
  }

  @Test
  public void bothSidesOfPartitionAgreeAndMergeAfterIt() {
    OverlaySimulation simulation = new OverlaySimulation(5, 95);
    simulation.run(START_MILLIS * 2);
    Set<String> side = new HashSet<>(simulation.names().subList(30, 50));
    simulation.cut(side);
    simulation.run(AGREEMENT_BOUND_MILLIS);
    for (String host : simulation.names()) {
      Set<String> expected = new HashSet<>(simulation.names());
      expected.removeIf(other -> side.contains(other) != side.contains(host));
      assertEquals(simulation.view(host), expected, host);
    }
    simulation.heal();
    simulation.run(AGREEMENT_BOUND_MILLIS);
    assertViewsAgree(simulation, "after the partition");
  }

  @Test
  public void allHostsRestartedTogetherFindEachOther() {
    OverlaySimulation simulation = new OverlaySimulation(6, 95);
    simulation.run(START_MILLIS * 2);
    simulation.names().forEach(simulation::kill);
    simulation.run(700);
    simulation.names().forEach(name -> simulation.start(name, 0));
    simulation.run(START_MILLIS);
    assertViewsAgree(simulation, "after all were restarted");
  }

  @Test
  public void hostFindsLateSeedWithinHalfSecond() {
    OverlaySimulation simulation = new OverlaySimulation(11, 3);
    simulation.run(START_MILLIS);
    simulation.names().forEach(simulation::kill);
    simulation.names().stream().skip(1).forEach(name -> simulation.start(name, 0));
    simulation.names().stream().skip(2).forEach(simulation::kill);
    simulation.run(5_000);
    simulation.start(simulation.names().get(0), 0);
    simulation.run(500);
    assertViewsAgree(simulation, "after the seed has started");
  }

  @Test
  public void pausedHostDoesNotLoseTheOthersWhenItWakes() {
    OverlaySimulation simulation = new OverlaySimulation(7, 24);
    simulation.run(START_MILLIS * 2);
    String paused = simulation.names().get(5);
    simulation.pause(paused, 6_000);
    simulation.run(5_900);
    assertFalse(simulation.view(simulation.names().get(1)).contains(paused));
    simulation.run(200);
    assertEquals(simulation.view(paused), simulation.running());
    simulation.run(AGREEMENT_BOUND_MILLIS);
    assertViewsAgree(simulation, "after the pause");
  }

  @Test
  public void lossyLinksLoseNoHostForLong() {
    OverlaySimulation simulation = new OverlaySimulation(8, 95);
    simulation.run(START_MILLIS * 2);
    simulation.loseShare(0.05);
    simulation.run(10_000);
    simulation.loseShare(0);
    simulation.run(AGREEMENT_BOUND_MILLIS);
    assertViewsAgree(simulation, "after lossy links");
  }

  @Test
  public void leavingHostIsNoCandidateAnywhere() {
    OverlaySimulation simulation = new OverlaySimulation(9, 95);
    simulation.run(START_MILLIS * 2);
    String leaving = simulation.names().get(7);
    simulation.leave(leaving);
    simulation.run(700);
    for (String host : simulation.names()) {
      assertFalse(
          simulation.overlay(host).candidates().stream()
              .anyMatch(candidate -> candidate.host().equals(leaving)),
          host);
    }
  }

  @Test
  public void lostHostStopsCountingAsSharingHostAfterTenMinutes() {
    OverlaySimulation simulation = new OverlaySimulation(10, 3);
    simulation.run(START_MILLIS);
    simulation.kill(simulation.names().get(2));
    simulation.run(LOSS_BOUND_MILLIS);
    HostOverlay overlay = simulation.overlay(simulation.names().get(0));
    assertEquals(overlay.sharingHostCount(), 3);
    simulation.run(11 * 60_000);
    assertEquals(overlay.sharingHostCount(), 2);
  }

  @Test
  public void viewsAgreeAfterRandomEvents() {
    for (int seed = 0; seed < 2_000; seed++) {
      Random random = new Random(seed);
      int size = 3 + random.nextInt(seed % 100 == 0 ? 93 : 14);
      OverlaySimulation simulation = new OverlaySimulation(seed, size);
      simulation.run(START_MILLIS);
      for (int event = 0; event < 6; event++) {
        disturb(simulation, random);
        simulation.run(random.nextInt(4_000));
      }
      simulation.heal();
      simulation.loseShare(0);
      simulation.run(AGREEMENT_BOUND_MILLIS + 4_000);
      assertViewsAgree(simulation, "with seed " + seed);
    }
  }

  private static void disturb(OverlaySimulation simulation, Random random) {
    List<String> names = simulation.names();
    String host = names.get(random.nextInt(names.size()));
    switch (random.nextInt(6)) {
      case 0 -> simulation.kill(host);
      case 1 -> {
        simulation.kill(host);
        simulation.start(host, random.nextInt(20_000) - 10_000);
      }
      case 2 -> simulation.pause(host, random.nextInt(4_000));
      case 3 -> {
        Set<String> side = new HashSet<>(names);
        side.removeIf(name -> random.nextBoolean());
        simulation.cut(side);
      }
      case 4 -> simulation.heal();
      default -> simulation.loseShare(random.nextDouble() * 0.2);
    }
  }
}
