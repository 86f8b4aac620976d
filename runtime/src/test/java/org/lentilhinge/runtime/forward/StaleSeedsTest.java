package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.Test;

/**
 * Tests a host that is added while the hosts that its seeds name are lost for good, and whose
 * settings do not change: it orders nothing beside an owner that it cannot find, and serves soon if
 * all others are lost.
 */
public class StaleSeedsTest {

  private static final int HOSTS = 8;
  private static final int LOST_SEEDS = 3;
  private static final int RUNS = 30;

  /** The number of runs with requests at any two times, which rarely meet. */
  private static final int ANY_TIME_RUNS = 100;

  private static final String ENGINE = "e0";
  private static final long FAULT_MILLIS = 20_000;
  private static final long ADDED_MILLIS = 21_000;
  private static final long END_MILLIS = 110_000;
  private static final int ROUND_MILLIS = 5_000;

  /** A number of adapters that leaves no slot of the engine free. */
  private static final int MANY_ADAPTERS = 30;

  /** The maximum time between two requests that one event causes, in milliseconds. */
  private static final int SAME_REQUEST_MILLIS = 120;

  /** The time after its start in which a host that is alone has to order again (RECOVER). */
  private static final long RECOVERY_MILLIS = 12_000;

  private final String added;
  private final List<String> others;

  /** Names the hosts of all simulations. */
  public StaleSeedsTest() {
    List<String> names = new ArrayList<>(newSimulation(0).hostNames());
    added = names.remove(HOSTS - 1);
    others = List.copyOf(names);
  }

  private static OwnershipSimulation newSimulation(long seed) {
    return new OwnershipSimulation(List.of(HOSTS), 1, seed, host -> OwnershipTrace.none());
  }

  /** Starts all hosts but the added one, and has the engine filled by the owner among them. */
  private OwnershipSimulation start(long seed, Random random) {
    return start(seed, random, MANY_ADAPTERS);
  }

  /** Starts all hosts but the added one, and has the engine owned by one of them. */
  private OwnershipSimulation start(long seed, Random random, int adapters) {
    OwnershipSimulation simulation = newSimulation(seed);
    for (String host : others) {
      simulation.at(random.nextInt(300), () -> simulation.start(host));
    }
    for (long time = 3_000; time < FAULT_MILLIS; time += 100 + random.nextInt(300)) {
      String host = others.get(random.nextInt(others.size()));
      request(simulation, time, host, "a" + random.nextInt(adapters));
    }
    simulation.at(ADDED_MILLIS, () -> simulation.start(added));
    return simulation;
  }

  /** Records the orders of two hosts that an engine obeyed. The rule does not hold for others. */
  private static void recordViolations(
      OwnershipSimulation simulation, long seed, List<String> failures) {
    OrderArrivals arrivals = simulation.obeyedArrivals();
    if (!arrivals.violations().isEmpty()) {
      failures.add(seed + ": " + arrivals.summary());
    }
  }

  private static void request(
      OwnershipSimulation simulation, long atMillis, String host, String adapter) {
    simulation.at(
        atMillis,
        () -> simulation.host(host).ifPresent(process -> process.request(ENGINE, adapter)));
  }

  // Guards against a host that takes itself for the only one and orders beside the owner
  // (review/7).
  @Test
  public void hostThatFindsNoOtherOrdersNothingBesideOwner() {
    checkBesideOwner(RUNS, SAME_REQUEST_MILLIS);
  }

  // Guards against orders of both within the age of a report, after requests at any two times.
  @Test
  public void hostThatFindsNoOtherOrdersNothingBesideOwnerAtAnyTime() {
    checkBesideOwner(ANY_TIME_RUNS, ROUND_MILLIS);
  }

  // Guards against equal first loads of both, which need no unload where slots are free.
  @Test
  public void hostThatFindsNoOtherOrdersNothingBesideOwnerOfEngineWithFreeSlots() {
    checkBesideOwner(ANY_TIME_RUNS, ROUND_MILLIS, 1);
  }

  private void checkBesideOwner(int runs, int spreadMillis) {
    checkBesideOwner(runs, spreadMillis, MANY_ADAPTERS);
  }

  private void checkBesideOwner(int runs, int spreadMillis, int adapters) {
    List<String> failures = new ArrayList<>();
    for (long seed = 1; seed <= runs; seed++) {
      Random random = new Random(seed);
      OwnershipSimulation simulation = start(seed, random, adapters);
      simulation.at(FAULT_MILLIS, () -> others.subList(0, LOST_SEEDS).forEach(simulation::kill));
      long fromMillis = ADDED_MILLIS + 4_000 + random.nextInt(36_000);
      int round = 0;
      for (long time = fromMillis; time < END_MILLIS; time += ROUND_MILLIS) {
        request(simulation, time, added, "b" + round);
        String other = others.get(LOST_SEEDS + random.nextInt(others.size() - LOST_SEEDS));
        request(simulation, time + random.nextInt(spreadMillis), other, "b" + round);
        round++;
      }
      simulation.runUntil(END_MILLIS);
      recordViolations(simulation, seed, failures);
    }
    assertEquals(String.join("\n", failures), "");
  }

  // Guards against a host that serves no new adapter for 30 s after all others were lost.
  @Test
  public void hostThatIsAloneOrdersSoon() {
    checkOrderWhenAlone(0);
  }

  // Guards against a first reading of the count that is taken for an order of another host.
  @Test
  public void hostThatIsAloneOrdersSoonAlthoughItsFirstReportIsLate() {
    checkOrderWhenAlone(3_000);
  }

  private void checkOrderWhenAlone(long silentMillis) {
    OwnershipSimulation.Silence silence = new OwnershipSimulation.Silence(Set.of(ENGINE), 0, 0, 1);
    List<String> failures = new ArrayList<>();
    for (long seed = 1; seed <= RUNS; seed++) {
      Random random = new Random(seed);
      OwnershipSimulation simulation = start(seed, random);
      simulation.at(FAULT_MILLIS, () -> others.forEach(simulation::kill));
      simulation.at(ADDED_MILLIS, () -> simulation.silence(silence));
      simulation.at(
          ADDED_MILLIS + silentMillis, () -> simulation.silence(OwnershipSimulation.Silence.NONE));
      long endMillis = ADDED_MILLIS + RECOVERY_MILLIS;
      for (long time = ADDED_MILLIS; time < endMillis; time += 200) {
        request(simulation, time, added, "b" + time);
      }
      simulation.runUntil(endMillis);
      if (!simulation.arrivals().hasArrivalSince(ENGINE, ADDED_MILLIS)) {
        failures.add("seed " + seed);
      }
    }
    assertEquals(String.join("\n", failures), "");
  }

  // Guards against a host behind a partition that takes its silent seeds for ended ones.
  @Test
  public void hostThatIsCutOffDoesNotTakeItselfForTheOnlyOne() {
    List<String> failures = new ArrayList<>();
    for (long seed = 1; seed <= RUNS; seed++) {
      Random random = new Random(seed);
      OwnershipSimulation simulation = start(seed, random);
      Set<String> part = new TreeSet<>(Set.of(added));
      long cutMillis = 25_000 + random.nextInt(30_000);
      simulation.at(
          FAULT_MILLIS,
          () -> {
            simulation.network().cut(part, new TreeSet<>(others), cutMillis);
            simulation.network().cut(new TreeSet<>(others), part, cutMillis);
          });
      int round = 0;
      for (long time = ADDED_MILLIS + random.nextInt(5_000); time < 80_000; time += ROUND_MILLIS) {
        request(simulation, time, added, "b" + round);
        request(
            simulation,
            time + random.nextInt(SAME_REQUEST_MILLIS),
            others.get(random.nextInt(others.size())),
            "b" + round);
        round++;
      }
      simulation.runUntil(80_000);
      recordViolations(simulation, seed, failures);
    }
    assertEquals(String.join("\n", failures), "");
  }

  // Guards against a minority that orders once the hosts of the majority were silent for long.
  @Test
  public void partsOfLongPartitionDoNotOrderAtOnce() {
    checkPartition(RUNS, SAME_REQUEST_MILLIS);
  }

  // Guards against orders of both within the age of a report, after requests at any two times.
  @Test
  public void partsOfLongPartitionDoNotOrderAtOnceAtAnyTime() {
    checkPartition(ANY_TIME_RUNS, ROUND_MILLIS);
  }

  private void checkPartition(int runs, int spreadMillis) {
    List<String> failures = new ArrayList<>();
    for (long seed = 1; seed <= runs; seed++) {
      Random random = new Random(seed);
      OwnershipSimulation simulation = start(seed, random);
      List<String> hosts = new ArrayList<>(others);
      hosts.add(added);
      Collections.shuffle(hosts, random);
      int size = 1 + random.nextInt(HOSTS / 2);
      Set<String> part = new TreeSet<>(hosts.subList(0, size));
      Set<String> rest = new TreeSet<>(hosts.subList(size, HOSTS));
      long cutMillis = ADDED_MILLIS + 4_000;
      simulation.at(
          cutMillis,
          () -> {
            simulation.network().cut(part, rest, END_MILLIS);
            simulation.network().cut(rest, part, END_MILLIS);
          });
      int round = 0;
      long fromMillis = cutMillis + random.nextInt(40_000);
      for (long time = fromMillis; time < END_MILLIS; time += ROUND_MILLIS) {
        request(simulation, time, hosts.get(random.nextInt(size)), "b" + round);
        String other = hosts.get(size + random.nextInt(HOSTS - size));
        request(simulation, time + random.nextInt(spreadMillis), other, "b" + round);
        round++;
      }
      simulation.runUntil(END_MILLIS);
      recordViolations(simulation, seed, failures);
    }
    assertEquals(String.join("\n", failures), "");
  }
}
