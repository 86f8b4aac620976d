package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Faults in a simulation of many hosts: one host at a time orders an engine, and each requested
 * engine has an owner again after the faults. {@code -Downership.seeds=FIRST-LAST} runs other
 * seeds, and {@code -Downership.trace=true} writes the logs of all hosts.
 */
public class OwnershipFaultsTest {

  private static final List<Integer> LARGE = List.of(18, 16, 18, 15, 14, 14);
  private static final List<Integer> TWO_ZONES = List.of(14, 14);
  private static final List<Integer> SMALL = List.of(3, 3, 2);

  /** Whether the logs of all hosts are written, for a single seed. */
  private static final boolean TRACED = Boolean.getBoolean("ownership.trace");

  /** Seeds that have failed before. */
  private static final List<Long> REGRESSION_SEEDS =
      List.of(1L, 2L, 10L, 12L, 13L, 16L, 26L, 34L, 50L, 52L, 56L, 76L, 88L, 113L, 144L);

  private static final long DEFAULT_SEEDS = 12;
  private static final long LOAD_FROM_MILLIS = 3_000;
  private static final long FAULTS_FROM_MILLIS = 10_000;

  /** The time after the last fault in which each requested engine has an owner again. */
  private static final long RECOVERY_MILLIS = 12_000;

  /** The time in which an order must arrive at each engine, as all have requests all the time. */
  private static final long OBSERVED_MILLIS = 4_000;

  /**
   * Fails if a fault alone lets two hosts order an engine, or leaves an engine without owner.
   *
   * @param kind the kind of fault
   */
  @Test(dataProvider = "kinds")
  public void oneKindOfFault(OwnershipFaults.Kind kind) {
    List<String> failures = new ArrayList<>();
    for (long seed : seeds(1)) {
      failures.addAll(playThrice(kind, seed));
    }
    assertEquals(String.join("\n", failures), "");
  }

  /**
   * Fails if a fault alone lets two hosts order an engine, as it did before.
   *
   * @param kind the kind of fault
   * @param seed the seed with which it failed
   */
  @Test(dataProvider = "failures")
  public void oneKindOfFaultThatFailed(OwnershipFaults.Kind kind, long seed) {
    assertEquals(String.join("\n", playThrice(kind, seed)), "");
  }

  /**
   * Lists the kinds of faults that have failed alone, with their seeds.
   *
   * @return the kinds and seeds
   */
  @DataProvider
  public Object[][] failures() {
    return new Object[][] {
      {OwnershipFaults.Kind.PAIR_CUT, 7L},
      {OwnershipFaults.Kind.RELAY_CUT_FROM_MEMBER, 7L},
      {OwnershipFaults.Kind.ZONE_STOPPED_IN_TURN, 16L},
      {OwnershipFaults.Kind.HOST_HEARD_BY_NOBODY, 5L},
      {OwnershipFaults.Kind.OWNER_FROZEN, 13L},
      {OwnershipFaults.Kind.OWNER_CUT_OFF, 5L},
    };
  }

  private static List<String> playThrice(OwnershipFaults.Kind kind, long seed) {
    return play(TWO_ZONES, 4, seed, List.of(kind, kind, kind));
  }

  /**
   * Lists all kinds of faults.
   *
   * @return the kinds
   */
  @DataProvider
  public Iterator<OwnershipFaults.Kind> kinds() {
    return List.of(OwnershipFaults.Kind.values()).iterator();
  }

  /**
   * Fails if faults that overlap let two hosts order an engine, or leave one without owner.
   *
   * @param seed the seed of the faults
   */
  @Test(dataProvider = "seeds")
  public void overlappingFaults(long seed) {
    List<Integer> zones = seed % 6 == 0 ? LARGE : seed % 2 == 0 ? SMALL : TWO_ZONES;
    Random random = new Random(seed);
    List<OwnershipFaults.Kind> kinds = new ArrayList<>();
    OwnershipFaults.Kind[] all = OwnershipFaults.Kind.values();
    for (int index = 4 + random.nextInt(5); index > 0; index--) {
      kinds.add(all[random.nextInt(all.length)]);
    }
    assertEquals(String.join("\n", play(zones, zones == LARGE ? 18 : 6, seed, kinds)), "");
  }

  /**
   * Lists the seeds of overlapping faults.
   *
   * @return the seeds
   */
  @DataProvider
  public Iterator<Long> seeds() {
    Set<Long> seeds = new LinkedHashSet<>(REGRESSION_SEEDS);
    seeds.addAll(seeds(DEFAULT_SEEDS));
    return seeds.iterator();
  }

  private static List<Long> seeds(long defaultCount) {
    String range = System.getProperty("ownership.seeds", "1-" + defaultCount);
    String[] bounds = range.split("-");
    return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]))
        .boxed()
        .toList();
  }

  private static List<String> play(
      List<Integer> zones, int engines, long seed, List<OwnershipFaults.Kind> kinds) {
    OwnershipTrace trace = new OwnershipTrace();
    OwnershipSimulation simulation =
        new OwnershipSimulation(
            zones, engines, seed, TRACED ? trace::logOf : host -> OwnershipTrace.none());
    trace.setClock(simulation::now);
    Random random = new Random(seed);
    OwnershipFaults faults = new OwnershipFaults(simulation, random);
    simulation.startAll();
    simulation.at(LOAD_FROM_MILLIS, () -> simulation.startLoad());
    long[] endMillis = {0};
    long beginMillis = FAULTS_FROM_MILLIS;
    for (OwnershipFaults.Kind kind : kinds) {
      simulation.at(
          beginMillis,
          () -> endMillis[0] = Math.max(endMillis[0], simulation.now() + faults.begin(kind)));
      beginMillis += random.nextInt(8_000);
    }
    simulation.runUntil(beginMillis);
    simulation.at(Math.max(beginMillis, endMillis[0]), simulation::endIdleSpells);
    long observedMillis = Math.max(beginMillis, endMillis[0]) + RECOVERY_MILLIS;
    simulation.runUntil(observedMillis + OBSERVED_MILLIS);
    trace.lines(OwnershipTrace.OWNERSHIP_EVENTS).forEach(System.out::println);
    List<String> failures = new ArrayList<>();
    if (!simulation.arrivals().violations().isEmpty()) {
      failures.add("seed " + seed + ", " + kinds + ": " + simulation.arrivals().summary());
    }
    List<String> idle = simulation.enginesWithoutOrder(observedMillis);
    if (!idle.isEmpty()) {
      failures.add("seed " + seed + ", " + kinds + ": no order of " + idle + " after the faults");
    }
    return failures;
  }
}
