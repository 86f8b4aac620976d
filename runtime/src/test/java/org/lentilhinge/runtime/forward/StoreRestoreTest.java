package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests that hosts follow a store that comes back from an older copy. The outage lasts from 15 to
 * 17 seconds, as the drills of users do, with a copy of the 9th second.
 */
public class StoreRestoreTest {

  private static final int SEEDS = 30;
  private static final int RANDOM_DAYS = 300;
  private static final int HOSTS = 4;
  private static final int SERVERS = 5;

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** A part of a day with a restored store. */
  private interface Day {
    void plan(StoreRestoreSimulation simulation);
  }

  private void play(Day day) {
    for (long seed = 0; seed < SEEDS; seed++) {
      StoreRestoreSimulation simulation = new StoreRestoreSimulation(vertx, HOSTS, SERVERS, seed);
      simulation.removeExpiredEntries();
      simulation.at(1_000, () -> simulation.declare(3));
      restoreAt(simulation, 9_000, 15_000, 17_000);
      day.plan(simulation);
      simulation.runUntil(40_000);
      assertNoFaults(simulation, seed);
    }
  }

  private static void assertNoFaults(StoreRestoreSimulation simulation, long seed) {
    List<String> first = simulation.faults().stream().limit(3).toList();
    assertEquals(first, List.of(), "seed " + seed + ": " + first);
  }

  private static void restoreAt(
      StoreRestoreSimulation simulation, long copyMillis, long fromMillis, long untilMillis) {
    AtomicReference<Runnable> copy = new AtomicReference<>();
    simulation.at(copyMillis, () -> copy.set(simulation.copy()));
    simulation.at(fromMillis, simulation::failStore);
    simulation.at(untilMillis, () -> simulation.restoreStore(copy.get()));
  }

  // A leaving server got requests up to 3.2 s after its notice, because listings with lower
  // revisions than before the restore were ignored.
  @Test
  public void serverThatDrainsAfterRestoreIsLeft() {
    play(simulation -> simulation.at(22_000, () -> simulation.drain("e1")));
    play(simulation -> simulation.at(17_300, () -> simulation.drain("e1")));
  }

  @Test
  public void serverThatDrainedBeforeRestoreStaysLeft() {
    play(simulation -> simulation.at(10_000, () -> simulation.drain("e1")));
  }

  // The copy lists servers that ended after it was made.
  @Test
  public void serverThatEndedBeforeRestoreIsNotUsedAgain() {
    play(simulation -> simulation.at(9_500, () -> simulation.end("e1")));
  }

  @Test
  public void serverThatEndsDuringOutageIsLeft() {
    play(simulation -> simulation.at(16_000, () -> simulation.end("e1")));
  }

  @Test
  public void changeAfterRestoreIsAppliedInTime() {
    play(
        simulation -> {
          simulation.at(12_000, () -> simulation.declare(7));
          simulation.at(17_800, () -> simulation.declare(7));
          simulation.at(21_500, () -> simulation.declare(9));
        });
    play(simulation -> simulation.at(17_050, () -> simulation.declare(5)));
  }

  @Test
  public void hostThatStartsAfterRestoreAgreesWithOthers() {
    play(
        simulation -> {
          simulation.at(17_500, () -> simulation.restartHost(0));
          simulation.at(18_000, () -> simulation.restartHost(2));
          simulation.at(18_500, () -> simulation.declare(5));
          simulation.at(22_000, () -> simulation.drain("e1"));
        });
  }

  @Test
  public void readerThatIsCutOffKeepsFormerEraToItself() {
    play(
        simulation -> {
          simulation.at(16_500, () -> simulation.cut(0, true));
          simulation.at(22_000, () -> simulation.drain("e1"));
          simulation.at(26_000, () -> simulation.cut(0, false));
          simulation.at(27_000, () -> simulation.declare(5));
        });
  }

  @Test
  public void lateListingOfFormerEraIsIgnored() {
    play(
        simulation -> {
          simulation.at(14_500, () -> simulation.delayNextListing(0, 6_000));
          simulation.at(14_500, () -> simulation.delayNextListing(1, 4_000));
          simulation.at(18_000, () -> simulation.drain("e1"));
        });
  }

  @Test
  public void secondRestoreFollowsTheFirst() {
    play(
        simulation -> {
          restoreAt(simulation, 18_000, 20_000, 21_000);
          simulation.at(22_000, () -> simulation.drain("e1"));
          simulation.at(22_500, () -> simulation.declare(5));
        });
  }

  // Moments and combinations that no day above has.
  @Test
  public void randomDaysBreakNoRule() {
    for (long seed = 0; seed < RANDOM_DAYS; seed++) {
      Random random = new Random(seed);
      StoreRestoreSimulation simulation =
          new StoreRestoreSimulation(vertx, 1 + random.nextInt(5), SERVERS, seed);
      simulation.removeExpiredEntries();
      simulation.at(1_000, () -> simulation.declare(3));
      long failsAtMillis = 10_000 + random.nextInt(8_000);
      long returnsAtMillis = failsAtMillis + 200 + random.nextInt(4_000);
      restoreAt(simulation, failsAtMillis - random.nextInt(9_000), failsAtMillis, returnsAtMillis);
      declareAtRandom(simulation, random, failsAtMillis, returnsAtMillis);
      long drainsAtMillis =
          random.nextBoolean()
              ? returnsAtMillis + random.nextInt(8_000)
              : failsAtMillis - 1 - random.nextInt(6_000);
      simulation.at(drainsAtMillis, () -> simulation.drain("e1"));
      simulation.at(3_000 + random.nextInt(20_000), () -> simulation.end("e2"));
      simulation.at(5_000 + random.nextInt(20_000), () -> simulation.restartHost(0));
      simulation.runUntil(40_000);
      assertNoFaults(simulation, seed);
    }
  }

  /** Declares a version that the restore may lose, again after it, and a later one. */
  private static void declareAtRandom(
      StoreRestoreSimulation simulation, Random random, long failsAtMillis, long returnsAtMillis) {
    simulation.at(failsAtMillis - 1 - random.nextInt(8_000), () -> simulation.declare(6));
    long againAtMillis = returnsAtMillis + 1 + random.nextInt(900);
    simulation.at(againAtMillis, () -> simulation.declare(6));
    simulation.at(againAtMillis + 1 + random.nextInt(6_000), () -> simulation.declare(8));
  }
}
