package org.lentilhinge.runtime.forward;

import java.util.OptionalLong;

/** The time after which the caller of a refused request should send it again. */
final class RetryDelay {

  /** The delay if no engine has suggested one, in milliseconds. */
  private static final long DEFAULT_MILLIS = 400;

  /** The part of the remaining time up to which callers wait for another attempt. */
  private static final long REMAINING_TIME_PARTS = 3;

  private OptionalLong suggestedMillis = OptionalLong.empty();

  boolean isSuggested() {
    return suggestedMillis.isPresent();
  }

  /** Records a delay that an engine or endpoint suggests; the shortest one applies. */
  void suggest(long millis) {
    suggestedMillis = OptionalLong.of(Math.min(millis, suggestedMillis.orElse(millis)));
  }

  /** Replaces all suggestions. */
  void set(long millis) {
    suggestedMillis = OptionalLong.of(millis);
  }

  /**
   * Returns the delay, in milliseconds.
   *
   * @param remainingMillis the time until the caller's deadline, in milliseconds
   */
  long millis(long remainingMillis) {
    return Math.min(
        suggestedMillis.orElse(DEFAULT_MILLIS),
        Math.max(0, remainingMillis) / REMAINING_TIME_PARTS);
  }
}
