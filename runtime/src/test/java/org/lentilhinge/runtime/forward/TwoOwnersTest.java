package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.testng.annotations.Test;

/**
 * Smallest cases in which two hosts of one zone order the same engine. Each is run with 20 or 40
 * seeds. A failure lists the failing seeds with their first violation; {@code
 * -Downership.trace=SEED} writes the log of all hosts with that seed alone.
 */
public class TwoOwnersTest {

  private static final int SEEDS = 20;

  /** The number of seeds of cases that fail seldom. */
  private static final int MANY_SEEDS = 40;

  private static final long END_MILLIS = 60_000;
  private static final long FAULT_MILLIS = OwnershipScenario.FAULT_MILLIS;

  /** Fails if the absence of claims, which a relay does not pass on, ends in a takeover. */
  @Test
  public void relayCutOffFromOneMemberLetsNoSecondOwnerIn() {
    check(
        OwnershipScenario.LARGE_ZONE,
        MANY_SEEDS,
        scenario -> {
          OwnershipSimulation simulation = scenario.simulation();
          simulation.at(
              FAULT_MILLIS,
              () ->
                  simulation
                      .network()
                      .cut(
                          Set.of(scenario.relay()),
                          Set.of(scenario.first()),
                          END_MILLIS - FAULT_MILLIS));
          scenario.load(scenario.between(23_300, 24_100), 40_000, 200);
        },
        violation -> true);
  }

  /** Fails if two hosts that do not hear each other both own an engine. */
  @Test
  public void hostsCutOffFromEachOtherDoNotBothOwnAnEngine() {
    check(
        OwnershipScenario.SMALL_ZONE,
        SEEDS,
        scenario -> {
          OwnershipSimulation simulation = scenario.simulation();
          Set<String> owner = Set.of(scenario.owner());
          Set<String> first = Set.of(scenario.first());
          simulation.at(
              FAULT_MILLIS,
              () -> {
                simulation.network().cut(owner, first, END_MILLIS - FAULT_MILLIS);
                simulation.network().cut(first, owner, END_MILLIS - FAULT_MILLIS);
              });
          scenario.load(scenario.between(24_000, 28_000), END_MILLIS, 200);
        },
        violation -> true);
  }

  /** Fails if an idle owner whose messages reach nobody goes on beside its successor. */
  @Test
  public void ownerThatNobodyHearsGivesWayToItsSuccessor() {
    check(
        OwnershipScenario.LARGE_ZONE,
        SEEDS,
        scenario -> {
          OwnershipSimulation simulation = scenario.simulation();
          String owner = scenario.owner();
          simulation.at(
              FAULT_MILLIS,
              () -> simulation.network().cut(Set.of(owner), scenario.allBut(owner), FAULT_MILLIS));
          scenario.load(scenario.between(FAULT_MILLIS, 30_000), 45_000, 200);
        },
        violation -> true);
  }

  /**
   * Fails if an owner takes the counted orders of another host for its own unanswered ones, and so
   * has orders accepted after those of its successor.
   */
  @Test
  public void unansweredOrdersHideNoOrderOfAnotherHost() {
    check(
        OwnershipScenario.LARGE_ZONE,
        MANY_SEEDS,
        scenario -> {
          OwnershipSimulation simulation = scenario.simulation();
          String owner = scenario.owner();
          simulation.at(
              FAULT_MILLIS,
              () -> simulation.network().cut(Set.of(owner), scenario.allBut(owner), 25_000));
          simulation.at(
              26_000,
              () ->
                  simulation.silence(
                      new OwnershipSimulation.Silence(
                          Set.of(OwnershipScenario.ENGINE), 0.6, 0.3, 0.6)));
          simulation.at(45_000, () -> simulation.silence(OwnershipSimulation.Silence.NONE));
          scenario.loadOf(owner, 26_500, 45_000, 300);
          scenario.loadOf(scenario.first(), 26_000, 45_000, 1_500);
        },
        violation ->
            violation.kind() == OrderArrivals.Kind.LOWER_TOKEN
                && violation.former().counted()
                && violation.latter().counted());
  }

  /** Fails if a response of the store that arrives late gives an old revision as a fresh one. */
  @Test
  public void lateResponseOfTheStoreGivesNoLowerToken() {
    check(
        OwnershipScenario.LARGE_ZONE,
        SEEDS,
        scenario -> {
          OwnershipSimulation simulation = scenario.simulation();
          simulation.at(FAULT_MILLIS - 1_000, () -> simulation.store().slow(2_000, 41_000));
          simulation.at(FAULT_MILLIS, () -> simulation.kill(scenario.owner()));
          scenario.load(FAULT_MILLIS, END_MILLIS, 100);
          scenario.stopEachNewOwner(FAULT_MILLIS, 55_000, 1_500, 4_000);
        },
        violation -> violation.kind() == OrderArrivals.Kind.LOWER_TOKEN);
  }

  /** Fails if an owner with unanswered orders states that it owns nothing, and is replaced. */
  @Test
  public void ownerWithUnansweredOrdersKeepsItsClaim() {
    check(
        OwnershipScenario.LARGE_ZONE,
        MANY_SEEDS,
        scenario -> {
          OwnershipSimulation simulation = scenario.simulation();
          String first = scenario.first();
          simulation.at(
              FAULT_MILLIS,
              () ->
                  simulation.silence(
                      new OwnershipSimulation.Silence(
                          Set.of(OwnershipScenario.ENGINE), 1, 0, 0.5)));
          simulation.at(
              scenario.between(30_000, 32_000),
              () -> simulation.silence(OwnershipSimulation.Silence.NONE));
          simulation.at(FAULT_MILLIS + 1_000, () -> simulation.kill(first));
          simulation.at(scenario.between(24_000, 26_000), () -> simulation.start(first));
          scenario.load(FAULT_MILLIS, 45_000, 200);
        },
        violation -> true);
  }

  /** Fails if a host takes over at once from a new owner that stops after its first orders. */
  @Test
  public void plannedStopAfterTheFirstOrderDelaysTheNextOwner() {
    check(
        OwnershipScenario.LARGE_ZONE,
        SEEDS,
        scenario -> {
          OwnershipSimulation simulation = scenario.simulation();
          simulation.at(FAULT_MILLIS, () -> simulation.kill(scenario.owner()));
          scenario.load(FAULT_MILLIS, END_MILLIS, 100);
          scenario.stopEachNewOwner(FAULT_MILLIS, 55_000, 1_500, 4_000);
        },
        violation -> true);
  }

  private static void check(
      int hosts,
      int seeds,
      Consumer<OwnershipScenario> fault,
      Predicate<OrderArrivals.Violation> judged) {
    TreeMap<Long, String> failures = new TreeMap<>();
    Long traced = Long.getLong("ownership.trace");
    long firstSeed = traced == null ? 1 : traced;
    long lastSeed = traced == null ? seeds : traced;
    for (long seed = firstSeed; seed <= lastSeed; seed++) {
      OwnershipTrace trace = new OwnershipTrace();
      OwnershipScenario scenario =
          new OwnershipScenario(
              hosts, seed, traced == null ? host -> OwnershipTrace.none() : trace::logOf);
      trace.setClock(scenario.simulation()::now);
      fault.accept(scenario);
      scenario.simulation().runUntil(END_MILLIS);
      List<OrderArrivals.Violation> violations =
          scenario.simulation().arrivals().violations().stream().filter(judged).toList();
      if (!violations.isEmpty()) {
        failures.put(seed, violations.size() + ", first " + violations.get(0));
      }
      trace.lines(OwnershipTrace.OWNERSHIP_EVENTS).forEach(System.out::println);
    }
    assertEquals(failures.size(), 0, "failing seeds and violations: " + failures);
  }
}
