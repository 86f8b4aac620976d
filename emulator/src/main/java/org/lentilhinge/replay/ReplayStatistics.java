package org.lentilhinge.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ZoneId;

/** Collects the results of the requests that arrive after the warm-up. */
final class ReplayStatistics {

  private final List<Long> stallMillis = new ArrayList<>();
  private final List<Long> firstTokenMillis = new ArrayList<>();
  private final Map<CallerId, Integer> offered = new HashMap<>();
  private final Map<CallerId, Integer> completed = new HashMap<>();
  private int refused;
  private int lost;
  private int loads;
  private long linkBytes;
  private boolean counting;

  void startCounting() {
    counting = true;
  }

  void stopCountingLoads() {
    counting = false;
  }

  void recordOffered(ReplayRequest request) {
    if (isMeasured(request)) {
      offered.merge(request.arrival().caller(), 1, Integer::sum);
    }
  }

  void recordDispatch(ReplayRequest request, ZoneId from, ZoneId to) {
    if (counting && !ReplayTopology.regionOf(from).equals(ReplayTopology.regionOf(to))) {
      linkBytes += ReplayTopology.BYTES_PER_PROMPT_TOKEN * request.arrival().promptTokens();
      linkBytes += ReplayTopology.BYTES_PER_RESPONSE_TOKEN * request.arrival().outputTokens();
    }
  }

  void recordLoadStart(ZoneId zone, long bytes) {
    if (counting) {
      loads++;
      linkBytes += ReplayTopology.regionOf(zone).equals(ReplayTopology.FAR) ? bytes : 0;
    }
  }

  void recordCompleted(ReplayRequest request) {
    if (isMeasured(request)) {
      completed.merge(request.arrival().caller(), 1, Integer::sum);
      firstTokenMillis.add(request.firstTokenMillis() - request.arrival().atMillis());
      recordStall(request);
    }
  }

  void recordRefused(ReplayRequest request, long nowMillis) {
    if (isMeasured(request)) {
      refused++;
      recordStall(request);
    }
  }

  void recordLost(ReplayRequest request) {
    if (isMeasured(request)) {
      lost++;
      recordStall(request);
    }
  }

  ReplayResult result(List<EngineActivity> engines) {
    int offeredSum = sum(offered);
    int completedSum = sum(completed);
    long occupied = engines.stream().mapToLong(EngineActivity::occupiedMillis).sum();
    long busy = engines.stream().mapToLong(EngineActivity::busyMillis).sum();
    long steps = engines.stream().mapToLong(EngineActivity::steps).sum();
    long tokens = engines.stream().mapToLong(EngineActivity::tokens).sum();
    return new ReplayResult(
        offeredSum,
        completedSum,
        refused,
        lost,
        new Percentiles(stallMillis),
        new Percentiles(firstTokenMillis),
        stallMillis.stream().mapToLong(Long::longValue).sum() / 1000.0,
        (double) occupied / Math.max(1, busy),
        (double) tokens / Math.max(1, steps),
        tokens,
        loads,
        linkBytes,
        worstCallerCompletionRatio((double) completedSum / Math.max(1, offeredSum)));
  }

  private double worstCallerCompletionRatio(double overall) {
    double worst = Double.MAX_VALUE;
    for (Map.Entry<CallerId, Integer> entry : offered.entrySet()) {
      double completionRate = completed.getOrDefault(entry.getKey(), 0) / (double) entry.getValue();
      worst = Math.min(worst, completionRate / overall);
    }
    return worst;
  }

  private void recordStall(ReplayRequest request) {
    if (request.stalledMillis() > 0) {
      stallMillis.add(request.stalledMillis());
    }
  }

  private static boolean isMeasured(ReplayRequest request) {
    return request.arrival().atMillis() >= ArrivalSequence.WARM_UP_MILLIS;
  }

  private static int sum(Map<CallerId, Integer> counts) {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }
}
