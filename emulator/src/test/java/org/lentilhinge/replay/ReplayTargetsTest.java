package org.lentilhinge.replay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the targets for load stalls and batch occupancy relative to the baseline. */
public class ReplayTargetsTest {

  private static final long SEED = 1;
  private static final long MEASURED_MILLIS = 600_000;
  private static final long SHORT_MILLIS = 60_000;
  private static final double LARGEST_STALL_PART = 0.5;
  private static final double LEAST_OCCUPANCY_GAIN = 1.3;
  private static final double LARGEST_LOSS = 0.05;
  private static final double LEAST_CALLER_SHARE = 0.5;

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
  public void halvesTheStalledTimeOfTheBaseline(ReplayCase replayCase) {
    ReplayResult baseline = run(Workload.regulalux(), replayCase, Contender.BASELINE);
    ReplayResult product = run(Workload.regulalux(), replayCase, Contender.LENTILHINGE);
    assertAtMost(
        product.stalledSeconds(), LARGEST_STALL_PART * baseline.stalledSeconds(), "stalls");
    assertAtLeast(product.occupancy(), (1 - LARGEST_LOSS) * baseline.occupancy(), "occupancy");
    assertAtLeast(product.worstCallerShare(), LEAST_CALLER_SHARE, "worst caller");
  }

  @Test(dataProvider = "batchCases")
  public void fillsBatchesBetterThanTheBaseline(ReplayCase replayCase) {
    ReplayResult baseline = run(Workload.kanalvizia(), replayCase, Contender.BASELINE);
    ReplayResult product = run(Workload.kanalvizia(), replayCase, Contender.LENTILHINGE);
    assertAtLeast(product.occupancy(), LEAST_OCCUPANCY_GAIN * baseline.occupancy(), "occupancy");
    assertAtMost(
        product.stalledSeconds(), (1 + LARGEST_LOSS) * baseline.stalledSeconds(), "stalls");
    assertAtLeast(product.worstCallerShare(), LEAST_CALLER_SHARE, "worst caller");
  }

  @Test
  public void answersEveryRequestOnce() {
    ReplayResult result = run(Workload.regulalux(), ReplayCase.COLD_ENGINES, Contender.LENTILHINGE);
    assertEquals(result.completed() + result.refused() + result.lost(), result.offered());
  }

  @Test
  public void repeatsTheSameRunFromTheSameSeed() {
    assertEquals(shortRun().stalledSeconds(), shortRun().stalledSeconds());
  }

  private static ReplayResult shortRun() {
    return Replay.run(
        Workload.regulalux(), ReplayCase.STEADY, Contender.LENTILHINGE, SEED, SHORT_MILLIS);
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
