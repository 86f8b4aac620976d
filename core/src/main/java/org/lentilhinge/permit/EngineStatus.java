package org.lentilhinge.permit;

import java.util.List;
import org.lentilhinge.demand.AdapterLoad;

/**
 * The status of an engine, which the host that runs its scheduler sends to all hosts.
 *
 * @param incarnation the incarnation of the engine
 * @param owned whether the sender owns the engine, that is, may send orders to it
 * @param adapters the names of the adapters that are resident or loading
 * @param backlogMillis the prefill time of the prompts at the engine and in the scheduler's queue,
 *     in milliseconds; the length of the backoff while the engine is unreachable
 * @param availableSlots the number of adapter slots that are free or hold an idle adapter
 * @param waitingAdapters the number of adapters whose requests wait for a slot
 * @param fencingToken the fencing token of the sender's orders; 0 if the sender does not own the
 *     engine or does not state its token
 * @param loads the demand for the adapters that are requested most at the engine
 */
public record EngineStatus(
    String incarnation,
    boolean owned,
    List<String> adapters,
    long backlogMillis,
    int availableSlots,
    int waitingAdapters,
    long fencingToken,
    List<AdapterLoad> loads) {

  /**
   * Copies the adapters.
   *
   * @param incarnation the incarnation of the engine
   * @param owned whether the sender owns the engine
   * @param adapters the adapters
   * @param backlogMillis the prefill time, in milliseconds
   * @param availableSlots the number of available slots
   * @param waitingAdapters the number of adapters that wait for a slot
   * @param fencingToken the fencing token, or 0
   * @param loads the demand for adapters
   */
  public EngineStatus {
    adapters = List.copyOf(adapters);
    loads = List.copyOf(loads);
  }

  /**
   * Creates a status without a fencing token and demand.
   *
   * @param incarnation the incarnation of the engine
   * @param owned whether the sender owns the engine
   * @param adapters the adapters
   * @param backlogMillis the prefill time, in milliseconds
   * @param availableSlots the number of available slots
   * @param waitingAdapters the number of adapters that wait for a slot
   */
  public EngineStatus(
      String incarnation,
      boolean owned,
      List<String> adapters,
      long backlogMillis,
      int availableSlots,
      int waitingAdapters) {
    this(
        incarnation, owned, adapters, backlogMillis, availableSlots, waitingAdapters, 0, List.of());
  }

  /**
   * Returns this status with a fencing token.
   *
   * @param token the fencing token of the sender's orders
   * @return the status
   */
  public EngineStatus withFencingToken(long token) {
    return new EngineStatus(
        incarnation, owned, adapters, backlogMillis, availableSlots, waitingAdapters, token, loads);
  }

  EngineStatus withBacklog(long millis) {
    return new EngineStatus(
        incarnation, owned, adapters, millis, availableSlots, waitingAdapters, fencingToken, loads);
  }

  /**
   * Returns this status with the demand for adapters.
   *
   * @param demand the demand for the adapters that are requested most
   * @return the status
   */
  public EngineStatus withLoads(List<AdapterLoad> demand) {
    return new EngineStatus(
        incarnation,
        owned,
        adapters,
        backlogMillis,
        availableSlots,
        waitingAdapters,
        fencingToken,
        demand);
  }
}
