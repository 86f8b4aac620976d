package org.lentilhinge.resume;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests resumed streams of many hosts during a release, with seeded random events. */
public class StreamVersionSimulationTest {

  private static final int SEEDS = 40;

  /** The number of streams over two versions that break the rule is one higher. */
  private static final int MAXIMUM_MIXED = 2;

  /** The number of resumed streams from which on their share counts. */
  private static final int MINIMUM_COUNTED = 12;

  @DataProvider
  public static Object[][] troubles() {
    List<Object[]> rows = new ArrayList<>();
    for (StreamVersionSimulation.Trouble trouble : StreamVersionSimulation.Trouble.values()) {
      rows.add(new Object[] {trouble, 8});
      rows.add(new Object[] {trouble, 60});
    }
    return rows.toArray(Object[][]::new);
  }

  // Streams held events of two versions; refusing all that are resumed would be no better.
  @Test(dataProvider = "troubles")
  public void resumedStreamsGoOnAtTheirVersion(StreamVersionSimulation.Trouble trouble, int hosts) {
    for (long seed = 0; seed < SEEDS; seed++) {
      StreamVersionSimulation simulation = new StreamVersionSimulation(hosts, trouble, seed);
      simulation.run();
      String place = trouble + " seed " + seed + ": ";
      assertTrue(simulation.mixed() <= MAXIMUM_MIXED, place + simulation.mixed() + " mixed");
      assertTrue(
          simulation.resumedOrRefused() < MINIMUM_COUNTED
              || simulation.shareOfResumed() >= simulation.shareOfNew() / 2,
          place + simulation.shareOfResumed() + " resumed, " + simulation.shareOfNew() + " new");
    }
  }
}
