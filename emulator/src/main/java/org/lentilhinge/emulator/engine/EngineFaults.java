package org.lentilhinge.emulator.engine;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

/** Holds the faults to inject into an engine. Each fault occurs once, in the order of planning. */
public final class EngineFaults {

  private final Queue<PlannedFault> streams = new ArrayDeque<>();
  private int failingLoads;
  private boolean cold;

  /**
   * Plans a fault for the next response that has no planned fault yet.
   *
   * @param fault the fault
   * @param token the position of the token at which the fault occurs, from 0
   */
  public synchronized void planStream(StreamFault fault, int token) {
    streams.add(new PlannedFault(fault, token));
  }

  /**
   * Makes the next loads fail.
   *
   * @param count the number of loads
   */
  public synchronized void failLoads(int count) {
    failingLoads = count;
  }

  /**
   * Makes the engine reject all requests with status 503, as an engine that is still starting does.
   *
   * @param value whether the engine is still starting
   */
  public synchronized void setCold(boolean value) {
    cold = value;
  }

  synchronized boolean isCold() {
    return cold;
  }

  synchronized boolean takeFailingLoad() {
    if (failingLoads == 0) {
      return false;
    }
    failingLoads--;
    return true;
  }

  synchronized Optional<PlannedFault> takeStream() {
    return Optional.ofNullable(streams.poll());
  }

  record PlannedFault(StreamFault fault, int token) {}
}
