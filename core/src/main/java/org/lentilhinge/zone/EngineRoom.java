package org.lentilhinge.zone;

import java.util.Optional;
import org.lentilhinge.permit.EngineScheduler;
import org.lentilhinge.permit.EngineStatus;

/**
 * What an engine's latest status says of its capacity.
 *
 * @param zone the engine's zone
 * @param known whether there is a current status
 * @param serving whether the engine responds to its scheduler
 * @param spare the part of the engine's time that is free
 * @param overload the work that waits for longer than {@link #ACCEPTED_WAIT_MILLIS}, as a part of
 *     the engine's time while it is worked off
 * @param waitMillis the expected wait of a new request, in milliseconds
 */
public record EngineRoom(
    String zone, boolean known, boolean serving, double spare, double overload, double waitMillis) {

  /**
   * The age above which a status is ignored, in milliseconds. A status that does not change is sent
   * again after 1,000 ms, and takes up to 460 ms to arrive.
   */
  public static final long MAXIMUM_STATUS_AGE_MILLIS = 1_600;

  /**
   * The wait up to which no work has to leave, in milliseconds. Arrivals at random cause such waits
   * at a part of the engines although there is capacity for all of them.
   */
  static final double ACCEPTED_WAIT_MILLIS = 50;

  /**
   * The wait up to which an engine counts as partly free, in milliseconds. The part of the engines
   * that are idle at a moment is the free part of their time; a scheduler counts an engine as idle
   * 20 ms before its work ends.
   */
  private static final double IDLE_WAIT_MILLIS = 40;

  /**
   * The time in which waiting work is to be worked off elsewhere, in milliseconds. It is about the
   * delay with which an effect shows in the statuses. In the simulation a shorter time moved the
   * shares more without serving more requests.
   */
  private static final double DRAIN_MILLIS = 400;

  /** One slow or blocked engine does not make its whole zone short. */
  private static final double MAXIMUM_OVERLOAD = 1;

  /**
   * Evaluates the status of an engine.
   *
   * @param zone the engine's zone
   * @param status the latest status, or empty if it is too old
   * @return the engine's capacity
   */
  public static EngineRoom of(String zone, Optional<EngineStatus> status) {
    if (status.isEmpty()) {
      return new EngineRoom(zone, false, false, 0, 0, 0);
    }
    EngineStatus current = status.get();
    // The scheduler states neither adapters nor slots of an engine that does not respond. Engines
    // of services without adapter slots never have any, so that the backlog decides, too.
    if (current.adapters().isEmpty()
        && current.availableSlots() == 0
        && current.backlogMillis() == EngineScheduler.UNREACHABLE_BACKOFF_MILLIS) {
      return new EngineRoom(zone, true, false, 0, 0, 0);
    }
    double waitMillis = current.backlogMillis();
    boolean slotsShort = current.availableSlots() == 0 && current.waitingAdapters() > 0;
    double spare = slotsShort ? 0 : Math.max(0, 1 - waitMillis / IDLE_WAIT_MILLIS);
    double overload =
        Math.min(MAXIMUM_OVERLOAD, Math.max(0, waitMillis - ACCEPTED_WAIT_MILLIS) / DRAIN_MILLIS);
    return new EngineRoom(zone, true, true, spare, overload, waitMillis);
  }
}
