package org.lentilhinge.replay;

import java.util.List;
import org.lentilhinge.configuration.Configuration;

/** Replays one case of one workload for one contender. */
final class Replay {

  private static final double FAILING_LOAD_FRACTION = 0.5;
  private static final long DRAIN_MILLIS = 200_000;

  private Replay() {}

  static ReplayResult run(
      Workload workload,
      ReplayCase replayCase,
      Contender contender,
      long seed,
      long measuredMillis) {
    ArrivalSequence sequence = new ArrivalSequence(workload, seed);
    Configuration configuration = ReplayTopology.configuration(workload, sequence.adapterCallers());
    VirtualClock clock = new VirtualClock();
    ReplayFleet fleet = new ReplayFleet(clock, workload, contender, configuration, seed);
    List<Arrival> arrivals = sequence.generate(replayCase, measuredMillis);
    for (Arrival arrival : arrivals) {
      clock.scheduleAt(arrival.atMillis(), () -> fleet.arrive(arrival));
    }
    clock.runUntil(ArrivalSequence.WARM_UP_MILLIS - 1);
    fleet.engineActivities().forEach(EngineActivity::reset);
    fleet.statistics().startCounting();
    startCase(replayCase, fleet);
    clock.runUntil(ArrivalSequence.WARM_UP_MILLIS + measuredMillis);
    fleet.statistics().stopCountingLoads();
    List<EngineActivity> engines =
        fleet.engineActivities().stream().map(EngineActivity::copy).toList();
    clock.runUntil(ArrivalSequence.WARM_UP_MILLIS + measuredMillis + DRAIN_MILLIS);
    return fleet.statistics().result(engines);
  }

  private static void startCase(ReplayCase replayCase, ReplayFleet fleet) {
    switch (replayCase) {
      case COLD_ENGINES -> fleet.restartEngines();
      case FAILING_LOADS -> fleet.store().setFailureFraction(FAILING_LOAD_FRACTION);
      case LOST_ZONE -> fleet.failZone(ReplayTopology.LOST_ZONE);
      default -> {
        // In the other cases at most the arrivals differ, which ArrivalSequence generates.
      }
    }
  }
}
