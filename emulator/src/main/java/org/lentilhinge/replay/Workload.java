package org.lentilhinge.replay;

import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.configuration.Policy;

/**
 * One user's load and fleet.
 *
 * @param name the user's name
 * @param policy the user's cost weights and limits
 * @param callers the callers
 * @param adapterCount the number of adapters
 * @param activeFraction the fraction of the adapters that receive requests at any one time
 * @param skew the exponent of the Zipf distribution of the active adapters' popularity
 * @param requestsPerSecond the mean arrival rate in requests per second
 * @param engine the capacity and speed of the engines
 * @param outputTokens the mean length of a response in tokens
 * @param adapterBytes the size of an adapter's weights in bytes
 */
public record Workload(
    String name,
    Policy policy,
    List<WorkloadCaller> callers,
    int adapterCount,
    double activeFraction,
    double skew,
    double requestsPerSecond,
    EngineModel engine,
    double outputTokens,
    long adapterBytes) {

  private static final int ADAPTER_COUNT = 3_000;
  private static final double ACTIVE_FRACTION = 0.25;
  private static final double SKEW = 1.0;
  private static final double REGULALUX_REQUESTS_PER_SECOND = 2.0;
  private static final double KANALVIZIA_REQUESTS_PER_SECOND = 2.5;
  private static final long ADAPTER_BYTES = 8_000_000;

  /**
   * Copies the callers.
   *
   * @param name the name
   * @param policy the policy
   * @param callers the callers
   * @param adapterCount the number of adapters
   * @param activeFraction the fraction of active adapters
   * @param skew the skew
   * @param requestsPerSecond the arrival rate
   * @param engine the engines
   * @param outputTokens the length of responses
   * @param adapterBytes the size of adapters
   */
  public Workload {
    callers = List.copyOf(callers);
  }

  /**
   * Returns the workload of Regulalux: three competing callers, short responses, users who wait on
   * site.
   *
   * @return the workload
   */
  public static Workload regulalux() {
    return new Workload(
        "regulalux",
        new Policy(3.0, 1.0, 20_000, 120_000),
        List.of(
            new WorkloadCaller("bilbao", 5, false, 0.3, 0.1),
            new WorkloadCaller("santander", 3, false, 0.3, 0.1),
            new WorkloadCaller("pamplona", 4, true, 0.3, 0.1)),
        ADAPTER_COUNT,
        ACTIVE_FRACTION,
        SKEW,
        REGULALUX_REQUESTS_PER_SECOND,
        new EngineModel(12, 8, 18.0, 0.6, 0.1),
        150,
        ADAPTER_BYTES);
  }

  /**
   * Returns the workload of Kanalvizia: twelve callers, long reports, a steady and large load.
   *
   * @return the workload
   */
  public static Workload kanalvizia() {
    List<WorkloadCaller> callers = new ArrayList<>();
    for (int client = 1; client <= 12; client++) {
      callers.add(new WorkloadCaller("client-" + client, 1 + client % 3, client > 8, 0.1, 0.3));
    }
    return new Workload(
        "kanalvizia",
        new Policy(1.0, 3.0, 30_000, 180_000),
        callers,
        ADAPTER_COUNT,
        ACTIVE_FRACTION,
        SKEW,
        KANALVIZIA_REQUESTS_PER_SECOND,
        new EngineModel(16, 16, 18.0, 0.6, 0.1),
        600,
        ADAPTER_BYTES);
  }

  /**
   * Returns a copy with another arrival rate.
   *
   * @param changedRequestsPerSecond the arrival rate in requests per second
   * @return the workload with that rate
   */
  public Workload withRate(double changedRequestsPerSecond) {
    return new Workload(
        name,
        policy,
        callers,
        adapterCount,
        activeFraction,
        skew,
        changedRequestsPerSecond,
        engine,
        outputTokens,
        adapterBytes);
  }

  /**
   * Returns a copy with another skew of the popularity.
   *
   * @param changedSkew the exponent
   * @return the workload with that skew
   */
  public Workload withSkew(double changedSkew) {
    return new Workload(
        name,
        policy,
        callers,
        adapterCount,
        activeFraction,
        changedSkew,
        requestsPerSecond,
        engine,
        outputTokens,
        adapterBytes);
  }

  /**
   * Returns a copy with another fraction of active adapters.
   *
   * @param changedActiveFraction the fraction of the adapters
   * @return the workload with that fraction
   */
  public Workload withActiveFraction(double changedActiveFraction) {
    return new Workload(
        name,
        policy,
        callers,
        adapterCount,
        changedActiveFraction,
        skew,
        requestsPerSecond,
        engine,
        outputTokens,
        adapterBytes);
  }

  /**
   * Returns the arrival rate at which all batch slots of the fleet are occupied.
   *
   * @return the rate in requests per second
   */
  public double capacityPerSecond() {
    double stepMillis = engine.stepMillis() + engine.stepMillisPerRequest() * engine.batchSlots();
    double requestSeconds = outputTokens * stepMillis / 1000.0;
    return ReplayTopology.ENGINE_COUNT * engine.batchSlots() / requestSeconds;
  }
}
