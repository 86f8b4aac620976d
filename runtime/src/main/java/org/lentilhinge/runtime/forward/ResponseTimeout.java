package org.lentilhinge.runtime.forward;

/** The time limit of one response: the maximum time without progress and in total. */
final class ResponseTimeout {

  /** The maximum duration of a long response that makes progress, in milliseconds. */
  private static final long MAXIMUM_LONG_MILLIS = 10_000;

  private final long silenceMillis;
  private final long endsAtMillis;
  private long progressAtMillis;

  private ResponseTimeout(long silenceMillis, long totalMillis, long nowMillis) {
    this.silenceMillis = silenceMillis;
    endsAtMillis = nowMillis + totalMillis;
    progressAtMillis = nowMillis;
  }

  /**
   * Starts the time limit of a complete response.
   *
   * @param totalMillis the maximum time until the response is complete, in milliseconds
   * @param nowMillis the time at which the request is sent, in milliseconds
   */
  static ResponseTimeout ofTotal(long totalMillis, long nowMillis) {
    return new ResponseTimeout(totalMillis, totalMillis, nowMillis);
  }

  /**
   * Starts the time limit of a long response, which is not cut while it makes progress over a busy
   * link: reading it again would only add to the load.
   *
   * @param silenceMillis the maximum time without any bytes, in milliseconds
   * @param nowMillis the time at which the request is sent, in milliseconds
   */
  static ResponseTimeout ofSilence(long silenceMillis, long nowMillis) {
    return new ResponseTimeout(
        silenceMillis, Math.max(silenceMillis, MAXIMUM_LONG_MILLIS), nowMillis);
  }

  /** Records that bytes of the response were received. */
  void recordProgress(long nowMillis) {
    progressAtMillis = nowMillis;
  }

  /** Returns the time left, in milliseconds; not positive if the response has to be given up. */
  long remainingMillis(long nowMillis) {
    return Math.min(progressAtMillis + silenceMillis, endsAtMillis) - nowMillis;
  }
}
