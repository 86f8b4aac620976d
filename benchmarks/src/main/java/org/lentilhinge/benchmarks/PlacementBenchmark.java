package org.lentilhinge.benchmarks;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.placement.EndpointPlacement;
import org.lentilhinge.placement.LeastPopularEviction;
import org.lentilhinge.placement.LoadDemand;
import org.lentilhinge.placement.LoadRequest;
import org.lentilhinge.placement.PlacementCommand;
import org.lentilhinge.placement.PlacementSettings;
import org.lentilhinge.placement.WaitTimeRanking;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the placement decisions of an engine's owner. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PlacementBenchmark {

  private static final HostId GATEWAY = new HostId("gateway");
  private static final long STEP_MILLIS = 3_000;

  /** The number of different requested adapters. */
  @Param({"3000", "180000"})
  private int adapters;

  private final SplittableRandom random = new SplittableRandom(1);
  private EndpointPlacement placement;
  private long nowMillis;

  /** Fills the adapter slots. */
  @Setup(Level.Trial)
  public void fill() {
    Configuration configuration = SampleConfiguration.of(1, 1);
    placement =
        new EndpointPlacement(
            configuration.engines().values().iterator().next(),
            PlacementSettings.DEFAULTS,
            new LeastPopularEviction(PlacementSettings.DEFAULTS.minimumResidencyMillis()),
            new WaitTimeRanking(),
            version -> true,
            random.split());
    for (int load = 0; load < 4 * SampleConfiguration.ADAPTER_SLOTS; load++) {
      missAndLoad();
    }
  }

  /**
   * Handles a miss: request, eviction, load and permit.
   *
   * @return the permits
   */
  @Benchmark
  public List<PlacementCommand> missAndLoad() {
    nowMillis += STEP_MILLIS;
    AdapterVersion version =
        new AdapterVersion(SampleConfiguration.adapter(random.nextInt(adapters)), 1);
    List<PlacementCommand> permits =
        placement.request(new LoadRequest(GATEWAY, version, Urgency.NORMAL, 1), nowMillis);
    Optional<LoadDemand> demand = placement.demand(nowMillis);
    if (demand.isEmpty()) {
      return permits;
    }
    for (PlacementCommand command : placement.startLoad(demand.get(), nowMillis)) {
      if (command instanceof PlacementCommand.StartUnload) {
        placement.onUnloaded(command.version(), nowMillis);
      }
    }
    return placement.onLoaded(demand.get().version(), nowMillis);
  }

  /**
   * Records a use under a grant.
   *
   * @return the number of requests that wait for a load
   */
  @Benchmark
  public int use() {
    nowMillis++;
    int adapter = random.nextInt(adapters);
    placement.recordUse(new AdapterVersion(SampleConfiguration.adapter(adapter), 1), 1, nowMillis);
    return placement.awaitingLoad();
  }
}
