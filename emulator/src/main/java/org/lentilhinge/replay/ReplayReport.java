package org.lentilhinge.replay;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Runs all contenders and formats a table of their results. */
public final class ReplayReport {

  private static final double BYTES_PER_MEGABYTE = 1e6;
  private static final String HEADINGS =
      "%-11s %-17s %-12s %7s %7s %6s %5s %8s %7s %7s %7s %9s %6s %6s %8s %6s %8s %6s %7s %7s";
  private static final String ROW =
      "%-11s %-17s %-12s %7d %7d %6d %5d %7.1f%% %7d %7d %7d %9.1f %6.3f %6.2f %8d %6d %8.1f"
          + " %6.2f %7d %7d";

  private final List<Workload> workloads;
  private final List<ReplayCase> cases;
  private final List<Contender> contenders;
  private final long seed;
  private final long measuredMillis;

  /**
   * Creates a report.
   *
   * @param workloads the workloads
   * @param cases the cases
   * @param contenders the policies to compare
   * @param seed the seed of arrivals, failures and tie-breaks
   * @param measuredMillis the measured time of each run in milliseconds of virtual time
   */
  public ReplayReport(
      List<Workload> workloads,
      List<ReplayCase> cases,
      List<Contender> contenders,
      long seed,
      long measuredMillis) {
    this.workloads = List.copyOf(workloads);
    this.cases = List.copyOf(cases);
    this.contenders = List.copyOf(contenders);
    this.seed = seed;
    this.measuredMillis = measuredMillis;
  }

  /**
   * Replays every case with every contender.
   *
   * @param lines receives each line of the table as soon as its replay has ended
   */
  public void print(Consumer<String> lines) {
    lines.accept(headings());
    List<String> ratios = new ArrayList<>();
    for (Workload workload : workloads) {
      for (ReplayCase replayCase : cases) {
        Map<Contender, ReplayResult> results = results(workload, replayCase);
        results.forEach(
            (contender, result) -> lines.accept(row(workload, replayCase, contender, result)));
        if (results.keySet().containsAll(List.of(Contender.BASELINE, Contender.LENTILHINGE))) {
          ratios.add(ratio(workload, replayCase, results));
        }
      }
    }
    ratios.forEach(lines);
  }

  private Map<Contender, ReplayResult> results(Workload workload, ReplayCase replayCase) {
    Map<Contender, ReplayResult> results =
        contenders.parallelStream()
            .collect(
                Collectors.toMap(
                    Function.identity(),
                    contender ->
                        Replay.run(workload, replayCase, contender, seed, measuredMillis)));
    return new EnumMap<>(results);
  }

  private static String headings() {
    return String.format(
        Locale.ROOT,
        HEADINGS,
        "user",
        "case",
        "contender",
        "offered",
        "done",
        "refuse",
        "lost",
        "stalled",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "stall s",
        "occup.",
        "tok/st",
        "tokens",
        "loads",
        "link MB",
        "worst",
        "ttft50",
        "ttft95");
  }

  private static String row(
      Workload workload, ReplayCase replayCase, Contender contender, ReplayResult result) {
    return String.format(
        Locale.ROOT,
        ROW,
        workload.name(),
        name(replayCase),
        name(contender),
        result.offered(),
        result.completed(),
        result.refused(),
        result.lost(),
        100 * result.stalledFraction(),
        result.stalls().percentile(0.5),
        result.stalls().percentile(0.95),
        result.stalls().percentile(0.99),
        result.stalledSeconds(),
        result.meanOccupiedSlots(),
        result.tokensPerStep(),
        result.tokens(),
        result.loads(),
        result.linkBytes() / BYTES_PER_MEGABYTE,
        result.worstCallerCompletionRatio(),
        result.firstTokens().percentile(0.5),
        result.firstTokens().percentile(0.95));
  }

  private static String ratio(
      Workload workload, ReplayCase replayCase, Map<Contender, ReplayResult> results) {
    ReplayResult baseline = results.get(Contender.BASELINE);
    ReplayResult lentilhinge = results.get(Contender.LENTILHINGE);
    return String.format(
        Locale.ROOT,
        "%-11s %-17s to baseline: stalled seconds x%.3f, occupancy x%.3f, tokens a step x%.3f,"
            + " tokens x%.3f",
        workload.name(),
        name(replayCase),
        lentilhinge.stalledSeconds() / baseline.stalledSeconds(),
        lentilhinge.meanOccupiedSlots() / baseline.meanOccupiedSlots(),
        lentilhinge.tokensPerStep() / baseline.tokensPerStep(),
        (double) lentilhinge.tokens() / baseline.tokens());
  }

  private static String name(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
