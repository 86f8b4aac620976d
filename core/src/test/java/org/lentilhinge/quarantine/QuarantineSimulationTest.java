package org.lentilhinge.quarantine;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the quarantine of many hosts with seeded random events. */
public class QuarantineSimulationTest {

  /** The number of simulated engines over all seeds, which bounds the time of the tests. */
  private static final int ENGINES_OF_ALL_SEEDS = 600;

  /** The number of fatal requests that may still be sent. */
  private static final int MAXIMUM_LATE = 3;

  /** At most one in so many sound requests may be refused while engines are in trouble. */
  private static final long MINIMUM_SERVED_PER_REFUSED = 1_000;

  @DataProvider
  public static Object[][] troubles() {
    List<Object[]> rows = new ArrayList<>();
    for (QuarantineSimulation.Trouble trouble : QuarantineSimulation.Trouble.values()) {
      rows.add(new Object[] {trouble, 8, 6});
      rows.add(new Object[] {trouble, 24, 40});
    }
    return rows.toArray(Object[][]::new);
  }

  private static void play(
      QuarantineSimulation.Trouble trouble,
      int hosts,
      int engines,
      QuarantineSimulation.Fatal fatal,
      double fatalPerSecond) {
    int refused = 0;
    int requests = 0;
    for (long seed = 0; seed < ENGINES_OF_ALL_SEEDS / engines; seed++) {
      QuarantineSimulation simulation =
          new QuarantineSimulation(hosts, engines, trouble, fatal, seed);
      simulation.run(hosts * 5, fatalPerSecond, 37_000);
      assertTrue(
          simulation.fatalSentLate() <= MAXIMUM_LATE,
          trouble + " seed " + seed + ": sent " + simulation.fatalSentLate() + " times");
      refused += simulation.soundRefused();
      requests += simulation.soundRequests();
    }
    assertTrue(
        refused * MINIMUM_SERVED_PER_REFUSED <= requests,
        trouble + ": refused " + refused + " of " + requests);
  }

  // Requests with one part in their prompts crashed back ends one after the other.
  @Test(dataProvider = "troubles")
  public void fatalPartIsRefusedByAllHosts(
      QuarantineSimulation.Trouble trouble, int hosts, int engines) {
    play(trouble, hosts, engines, QuarantineSimulation.Fatal.PART, 3);
  }

  // One request crashed back ends one after the other, under a new id each time.
  @Test(dataProvider = "troubles")
  public void fatalRequestIsRefusedByAllHosts(
      QuarantineSimulation.Trouble trouble, int hosts, int engines) {
    play(trouble, hosts, engines, QuarantineSimulation.Fatal.REQUEST, 3);
  }

  // Sound requests must not be suspected because engines fail in other ways.
  @Test(dataProvider = "troubles")
  public void soundRequestsAreServedWithoutFatalOnes(
      QuarantineSimulation.Trouble trouble, int hosts, int engines) {
    play(trouble, hosts, engines, QuarantineSimulation.Fatal.PART, 1e-9);
  }
}
