package org.lentilhinge.runtime.forward;

import java.util.ArrayList;
import java.util.List;

/**
 * Buffers the requests that reach a host between its start and its first read of the store, so that
 * callers need not retry because of a few hundred milliseconds. If the store does not respond, the
 * wait is short and bounded.
 */
final class EarlyRequests {

  /**
   * The maximum wait of a buffered request, in milliseconds; then the caller is refused. The first
   * read takes up to 0.35 s on the smallest hosts in use.
   */
  static final long WAIT_MILLIS = 500;

  /**
   * The maximum number of buffered requests, which is more than a host receives during the maximum
   * wait. Further requests are refused at once.
   */
  private static final int MAXIMUM_REQUESTS = 256;

  private final long endMillis;
  private final List<Runnable> kept = new ArrayList<>();

  /**
   * Creates an empty buffer.
   *
   * @param startedAtMillis the time of the host's start, in milliseconds
   */
  EarlyRequests(long startedAtMillis) {
    endMillis = startedAtMillis + WAIT_MILLIS;
  }

  /**
   * Buffers a request, unless the maximum wait since the start is over or the buffer is full.
   *
   * @param forward forwards the request
   * @param nowMillis the time, in milliseconds
   * @return whether the request is buffered
   */
  boolean keep(Runnable forward, long nowMillis) {
    if (nowMillis >= endMillis || kept.size() >= MAXIMUM_REQUESTS) {
      return false;
    }
    kept.add(forward);
    return true;
  }

  /** Forwards all buffered requests in the order of arrival. */
  void release() {
    List<Runnable> released = List.copyOf(kept);
    kept.clear();
    released.forEach(Runnable::run);
  }
}
