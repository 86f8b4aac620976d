package org.lentilhinge.replay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the targets for load stalls and batch occupancy relative to the baseline. */
public class ReplayTargetsTest {

  private static final long SEED = 1;
  private static final long MEASURED_MILLIS = 600_000;
  private static final long SHORT_RUN_MILLIS = 60_000;
  private static final double MAXIMUM_STALL_RATIO = 0.5;
  private static final double MINIMUM_OCCUPANCY_RATIO = 1.3;
  private static final double MAXIMUM_RELATIVE_LOSS = 0.05;
  private static final double MINIMUM_CALLER_RATIO = 0.5;

  @DataProvider(parallel = true)
  public Object[][] stallCases() {
    return new Object[][] {
      {ReplayCase.STEADY}, {ReplayCase.POPULARITY_SHIFT}, {ReplayCase.FAILING_LOADS}
    };
  }

  @DataProvider(parallel = true)
  public Object[][] batchCases() {
    return new Object[][] {{ReplayCase.STEADY}, {ReplayCase.POPULARITY_SHIFT}};
  }

  @Test(dataProvider = "stallCases")
  public void halvesStalledTimeOfBaseline(ReplayCase replayCase) {
    ReplayResult baseline = run(Workload.regulalux(), replayCase, Contender.BASELINE);
    ReplayResult lentilhinge = run(Workload.regulalux(), replayCase, Contender.LENTILHINGE);
    assertAtMost(
        lentilhinge.stalledSeconds(), MAXIMUM_STALL_RATIO * baseline.stalledSeconds(), "stalls");
    assertAtLeast(
        lentilhinge.meanOccupiedSlots(),
        (1 - MAXIMUM_RELATIVE_LOSS) * baseline.meanOccupiedSlots(),
        "occupancy");
    assertAtLeast(lentilhinge.worstCallerCompletionRatio(), MINIMUM_CALLER_RATIO, "worst caller");
  }

  @Test(dataProvider = "batchCases")
  public void fillsBatchesBetterThanBaseline(ReplayCase replayCase) {
    ReplayResult baseline = run(Workload.kanalvizia(), replayCase, Contender.BASELINE);
    ReplayResult lentilhinge = run(Workload.kanalvizia(), replayCase, Contender.LENTILHINGE);
    assertAtLeast(
        lentilhinge.meanOccupiedSlots(),
        MINIMUM_OCCUPANCY_RATIO * baseline.meanOccupiedSlots(),
        "occupancy");
    assertAtMost(
        lentilhinge.stalledSeconds(),
        (1 + MAXIMUM_RELATIVE_LOSS) * baseline.stalledSeconds(),
        "stalls");
    assertAtLeast(lentilhinge.worstCallerCompletionRatio(), MINIMUM_CALLER_RATIO, "worst caller");
  }

  @Test
  public void countsEveryRequestOnce() {
    ReplayResult result = run(Workload.regulalux(), ReplayCase.COLD_ENGINES, Contender.LENTILHINGE);
    assertEquals(result.completed() + result.refused() + result.lost(), result.offered());
  }

  @Test
  public void givesSameResultForSameSeed() {
    assertEquals(shortRun().stalledSeconds(), shortRun().stalledSeconds());
  }

  private static ReplayResult shortRun() {
    return Replay.run(
        Workload.regulalux(), ReplayCase.STEADY, Contender.LENTILHINGE, SEED, SHORT_RUN_MILLIS);
  }

  private static ReplayResult run(Workload workload, ReplayCase replayCase, Contender contender) {
    return Replay.run(workload, replayCase, contender, SEED, MEASURED_MILLIS);
  }

  private static void assertAtMost(double actual, double maximum, String description) {
    assertTrue(actual <= maximum, description + ": " + actual + " is above " + maximum);
  }

  private static void assertAtLeast(double actual, double minimum, String description) {
    assertTrue(actual >= minimum, description + ": " + actual + " is below " + minimum);
  }
}
