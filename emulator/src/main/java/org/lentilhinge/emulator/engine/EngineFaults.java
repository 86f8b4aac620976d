package org.lentilhinge.emulator.engine;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

/** Holds the faults to inject into an engine. Each fault occurs once, in the order of planning. */
public final class EngineFaults {

  private final Queue<PlannedFault> plannedStreamFaults = new ArrayDeque<>();
  private int remainingLoadFaults;
  private boolean starting;

  /**
   * Plans a fault for the next response that has no planned fault yet.
   *
   * @param fault the fault
   * @param token the position of the token at which the fault occurs, from 0
   */
  public synchronized void planStreamFault(StreamFault fault, int token) {
    plannedStreamFaults.add(new PlannedFault(fault, token));
  }

  /**
   * Makes the next loads fail.
   *
   * @param count the number of loads
   */
  public synchronized void failLoads(int count) {
    remainingLoadFaults = count;
  }

  /**
   * Makes the engine reject all requests with status 503, as an engine that is still starting does.
   *
   * @param isStarting whether the engine is still starting
   */
  public synchronized void setStarting(boolean isStarting) {
    starting = isStarting;
  }

  synchronized boolean isStarting() {
    return starting;
  }

  synchronized boolean pollLoadFault() {
    if (remainingLoadFaults == 0) {
      return false;
    }
    remainingLoadFaults--;
    return true;
  }

  synchronized Optional<PlannedFault> pollStreamFault() {
    return Optional.ofNullable(plannedStreamFaults.poll());
  }

  record PlannedFault(StreamFault fault, int token) {}
}
