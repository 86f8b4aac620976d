package org.lentilhinge.membership;

import java.util.Optional;

/**
 * Detects that the process was paused. A host calls the detector first on each tick, and passes a
 * jump to its other state machines before any other event.
 *
 * <p>The monotonic clock does not advance while a virtual machine is suspended; this case is
 * detected by a difference between the monotonic clock and the wall clock.
 */
public final class PauseDetector {

  private final long maximumGapMillis;
  private boolean started;
  private long lastMonotonicMillis;
  private long lastWallMillis;

  /**
   * Creates a detector.
   *
   * @param maximumGapMillis the maximum regular gap between two ticks, in milliseconds
   */
  public PauseDetector(long maximumGapMillis) {
    this.maximumGapMillis = maximumGapMillis;
  }

  /**
   * Compares the times with those of the last call.
   *
   * @param monotonicMillis the monotonic time, in milliseconds
   * @param wallMillis the wall-clock time, in milliseconds
   * @return the jump since the last call, or empty if there was none
   */
  public Optional<ClockJump> onTick(long monotonicMillis, long wallMillis) {
    long monotonicGapMillis = monotonicMillis - lastMonotonicMillis;
    long wallGapMillis = wallMillis - lastWallMillis;
    boolean hasPrevious = started;
    started = true;
    lastMonotonicMillis = monotonicMillis;
    lastWallMillis = wallMillis;
    if (!hasPrevious) {
      return Optional.empty();
    }
    long differenceMillis = wallGapMillis - monotonicGapMillis;
    if (monotonicGapMillis > maximumGapMillis
        || monotonicGapMillis < 0
        || differenceMillis > maximumGapMillis) {
      return Optional.of(new ClockJump(Math.max(monotonicGapMillis, wallGapMillis)));
    }
    return Optional.empty();
  }
}
