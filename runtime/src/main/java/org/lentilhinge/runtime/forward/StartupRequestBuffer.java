package org.lentilhinge.runtime.forward;

import java.util.ArrayList;
import java.util.List;

/**
 * Buffers the requests that reach a host between its start and its first read of the store, so that
 * callers need not retry because of a wait of a few hundred milliseconds. The wait is bounded in
 * case the store does not respond.
 */
final class StartupRequestBuffer {

  /**
   * The maximum time from the host's start during which requests are buffered, in milliseconds;
   * after that they are refused. The first read takes up to 0.35 s on the smallest hosts in use.
   */
  static final long MAXIMUM_WAIT_MILLIS = 500;

  /**
   * The maximum number of buffered requests, which is more than a host receives during the maximum
   * wait. Further requests are refused at once.
   */
  private static final int MAXIMUM_REQUESTS = 256;

  private final long deadlineAtMillis;
  private final List<Runnable> buffered = new ArrayList<>();

  /**
   * Creates an empty buffer.
   *
   * @param startedAtMillis the time of the host's start, in milliseconds
   */
  StartupRequestBuffer(long startedAtMillis) {
    deadlineAtMillis = startedAtMillis + MAXIMUM_WAIT_MILLIS;
  }

  /**
   * Buffers a request, unless the maximum wait since the start is over or the buffer is full.
   *
   * @param forward forwards the request
   * @param nowMillis the time, in milliseconds
   * @return whether the request is buffered
   */
  boolean offer(Runnable forward, long nowMillis) {
    if (nowMillis >= deadlineAtMillis || buffered.size() >= MAXIMUM_REQUESTS) {
      return false;
    }
    buffered.add(forward);
    return true;
  }

  /** Forwards all buffered requests in the order of arrival. */
  void release() {
    List<Runnable> released = List.copyOf(buffered);
    buffered.clear();
    released.forEach(Runnable::run);
  }
}
