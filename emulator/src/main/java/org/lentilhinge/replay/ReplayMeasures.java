package org.lentilhinge.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ZoneId;

/** Collects the results of the requests that arrive after the warm-up. */
final class ReplayMeasures {

  private final List<Long> stalls = new ArrayList<>();
  private final List<Long> firstTokens = new ArrayList<>();
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

  void offered(ReplayRequest request) {
    if (isMeasured(request)) {
      offered.merge(request.arrival().caller(), 1, Integer::sum);
    }
  }

  void dispatched(ReplayRequest request, ZoneId from, ZoneId to) {
    if (counting && !ReplayTopology.regionOf(from).equals(ReplayTopology.regionOf(to))) {
      linkBytes += ReplayTopology.BYTES_PER_PROMPT_TOKEN * request.arrival().promptTokens();
      linkBytes += ReplayTopology.BYTES_PER_ANSWER_TOKEN * request.arrival().outputTokens();
    }
  }

  void loadStarted(ZoneId zone, long bytes) {
    if (counting) {
      loads++;
      linkBytes += ReplayTopology.regionOf(zone).equals(ReplayTopology.FAR) ? bytes : 0;
    }
  }

  void completed(ReplayRequest request) {
    if (isMeasured(request)) {
      completed.merge(request.arrival().caller(), 1, Integer::sum);
      firstTokens.add(request.firstTokenMillis() - request.arrival().atMillis());
      countStall(request);
    }
  }

  void refused(ReplayRequest request, long nowMillis) {
    if (isMeasured(request)) {
      refused++;
      countStall(request);
    }
  }

  void lost(ReplayRequest request) {
    if (isMeasured(request)) {
      lost++;
      countStall(request);
    }
  }

  ReplayResult result(List<EngineMeasures> engines) {
    int offeredSum = sum(offered);
    int completedSum = sum(completed);
    long occupied = engines.stream().mapToLong(EngineMeasures::occupiedMillis).sum();
    long busy = engines.stream().mapToLong(EngineMeasures::busyMillis).sum();
    long steps = engines.stream().mapToLong(EngineMeasures::steps).sum();
    long tokens = engines.stream().mapToLong(EngineMeasures::tokens).sum();
    return new ReplayResult(
        offeredSum,
        completedSum,
        refused,
        lost,
        new Percentiles(stalls),
        new Percentiles(firstTokens),
        stalls.stream().mapToLong(Long::longValue).sum() / 1000.0,
        (double) occupied / Math.max(1, busy),
        (double) tokens / Math.max(1, steps),
        tokens,
        loads,
        linkBytes,
        worstCallerShare((double) completedSum / Math.max(1, offeredSum)));
  }

  private double worstCallerShare(double overall) {
    double worst = Double.MAX_VALUE;
    for (Map.Entry<CallerId, Integer> entry : offered.entrySet()) {
      double part = completed.getOrDefault(entry.getKey(), 0) / (double) entry.getValue();
      worst = Math.min(worst, part / overall);
    }
    return worst;
  }

  private void countStall(ReplayRequest request) {
    if (request.stalledMillis() > 0) {
      stalls.add(request.stalledMillis());
    }
  }

  private static boolean isMeasured(ReplayRequest request) {
    return request.arrival().atMillis() >= ArrivalSequence.WARM_UP_MILLIS;
  }

  private static int sum(Map<CallerId, Integer> counts) {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }
}
