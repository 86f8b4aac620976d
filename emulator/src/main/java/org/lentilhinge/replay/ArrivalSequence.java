package org.lentilhinge.replay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.lentilhinge.identity.CallerId;

/** Generates a sequence of arrivals from a seed, so that each contender gets the same arrivals. */
final class ArrivalSequence {

  static final long WARM_UP_MILLIS = 900_000;

  private static final double CHANGES_PER_ADAPTER_AND_HOUR = 0.16;
  private static final double MILLIS_PER_HOUR = 3_600_000;
  private static final double CALLER_REGION_FRACTION = 0.9;
  private static final double SHIFTED_FRACTION = 0.2;
  private static final int PREFIXES_PER_ADAPTER = 4;
  private static final int MINIMUM_PROMPT_TOKENS = 150;
  private static final int PROMPT_SPREAD_TOKENS = 500;
  private static final double OUTPUT_LOG_DEVIATION = 0.6;

  private final Workload workload;
  private final SplittableRandom random;
  private final List<WorkloadCaller> adapterCallers = new ArrayList<>();
  private final int[] adapterByRank;
  private final double[] cumulativePopularity;
  private final int shiftedAdapter;
  private double nextChangeMillis;

  ArrivalSequence(Workload workload, long seed) {
    this.workload = workload;
    this.random = new SplittableRandom(seed);
    int adapters = workload.adapterCount();
    for (int index = 0; index < adapters; index++) {
      adapterCallers.add(drawCaller());
    }
    this.adapterByRank = shuffledIndexes(adapters);
    int active = (int) (adapters * workload.activeFraction());
    this.shiftedAdapter = adapterByRank[adapters - 1];
    this.cumulativePopularity = new double[active];
    double sum = 0;
    for (int rank = 0; rank < active; rank++) {
      sum += Math.pow(rank + 1.0, -workload.skew());
      cumulativePopularity[rank] = sum;
    }
  }

  List<WorkloadCaller> adapterCallers() {
    return adapterCallers;
  }

  List<Arrival> generate(ReplayCase replayCase, long measuredMillis) {
    List<Arrival> arrivals = new ArrayList<>();
    double atMillis = 0;
    while (atMillis < WARM_UP_MILLIS + measuredMillis) {
      boolean measured = atMillis >= WARM_UP_MILLIS;
      double rate = arrivalRate(replayCase, measured);
      atMillis += -Math.log(1 - random.nextDouble()) * 1000.0 / rate;
      changeActiveAdapters(atMillis);
      arrivals.add(nextArrival(replayCase, measured, (long) atMillis));
    }
    return arrivals;
  }

  /** Replaces active adapters by idle ones, at the rate of changes that the users expect. */
  private void changeActiveAdapters(double untilMillis) {
    int active = cumulativePopularity.length;
    int idle = adapterByRank.length - active;
    double changes = adapterByRank.length * CHANGES_PER_ADAPTER_AND_HOUR;
    while (idle > 0 && nextChangeMillis <= untilMillis) {
      nextChangeMillis += 2 * MILLIS_PER_HOUR / changes;
      int replaced = random.nextInt(active);
      int replacement = active + random.nextInt(idle);
      int adapter = adapterByRank[replaced];
      adapterByRank[replaced] = adapterByRank[replacement];
      adapterByRank[replacement] = adapter;
    }
  }

  private double arrivalRate(ReplayCase replayCase, boolean measured) {
    boolean overloaded = replayCase == ReplayCase.DOUBLE_CAPACITY && measured;
    return overloaded ? 2 * workload.capacityPerSecond() : workload.requestsPerSecond();
  }

  private Arrival nextArrival(ReplayCase replayCase, boolean measured, long atMillis) {
    int adapter = adapterByRank[drawRank()];
    boolean shifted = random.nextDouble() < SHIFTED_FRACTION;
    if (replayCase == ReplayCase.POPULARITY_SHIFT && measured && shifted) {
      adapter = shiftedAdapter;
    }
    WorkloadCaller caller = adapterCallers.get(adapter);
    boolean inCallerRegion = random.nextDouble() < CALLER_REGION_FRACTION;
    return new Arrival(
        atMillis,
        new CallerId(caller.name()),
        ReplayTopology.adapter(adapter),
        random.nextDouble(),
        inCallerRegion == caller.inFarRegion(),
        MINIMUM_PROMPT_TOKENS + random.nextInt(PROMPT_SPREAD_TOKENS),
        drawOutputTokens(),
        adapter * (long) PREFIXES_PER_ADAPTER + random.nextInt(PREFIXES_PER_ADAPTER));
  }

  private int drawRank() {
    double threshold = random.nextDouble() * cumulativePopularity[cumulativePopularity.length - 1];
    int index = Arrays.binarySearch(cumulativePopularity, threshold);
    return Math.min(index >= 0 ? index : -index - 1, cumulativePopularity.length - 1);
  }

  /** Draws from a log-normal distribution with the workload's mean. */
  private int drawOutputTokens() {
    double normal =
        Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
            * Math.cos(2 * Math.PI * random.nextDouble());
    double mean =
        Math.log(workload.outputTokens()) - OUTPUT_LOG_DEVIATION * OUTPUT_LOG_DEVIATION / 2;
    return Math.max(1, (int) Math.exp(mean + OUTPUT_LOG_DEVIATION * normal));
  }

  private WorkloadCaller drawCaller() {
    int sum = workload.callers().stream().mapToInt(WorkloadCaller::weight).sum();
    int drawn = random.nextInt(sum);
    for (WorkloadCaller caller : workload.callers()) {
      drawn -= caller.weight();
      if (drawn < 0) {
        return caller;
      }
    }
    throw new IllegalStateException("the callers' weights do not add up to " + sum);
  }

  private int[] shuffledIndexes(int count) {
    int[] indexes = new int[count];
    for (int index = 0; index < count; index++) {
      int other = random.nextInt(index + 1);
      indexes[index] = indexes[other];
      indexes[other] = index;
    }
    return indexes;
  }
}
