package org.lentilhinge.replay;

import java.util.List;
import org.lentilhinge.configuration.Configuration;

/** Replays one case of one workload for one contender. */
final class Replay {

  private static final double HALF = 0.5;
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
    VirtualTime time = new VirtualTime();
    ReplayFleet fleet = new ReplayFleet(time, workload, contender, configuration, seed);
    List<Arrival> arrivals = sequence.generate(replayCase, measuredMillis);
    for (Arrival arrival : arrivals) {
      time.at(arrival.atMillis(), () -> fleet.arrive(arrival));
    }
    time.runUntil(ArrivalSequence.WARM_UP_MILLIS - 1);
    fleet.engineMeasures().forEach(EngineMeasures::reset);
    fleet.measures().startCounting();
    begin(replayCase, fleet);
    time.runUntil(ArrivalSequence.WARM_UP_MILLIS + measuredMillis);
    fleet.measures().stopCountingLoads();
    List<EngineMeasures> engines =
        fleet.engineMeasures().stream().map(EngineMeasures::copy).toList();
    time.runUntil(ArrivalSequence.WARM_UP_MILLIS + measuredMillis + DRAIN_MILLIS);
    return fleet.measures().result(engines);
  }

  private static void begin(ReplayCase replayCase, ReplayFleet fleet) {
    switch (replayCase) {
      case COLD_ENGINES -> fleet.restartEngines();
      case FAILING_LOADS -> fleet.store().failPart(HALF);
      case LOST_ZONE -> fleet.loseZone(ReplayTopology.LOST_ZONE);
      default -> {
        // In the other cases at most the arrivals differ, which ArrivalSequence generates.
      }
    }
  }
}
