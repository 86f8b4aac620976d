package org.lentilhinge.runtime.forward;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the requests that reach a host between its start and its first reading of the store, so
 * that callers need not come back for want of a few hundred milliseconds. Where the store does not
 * answer, the wait is short and bounded.
 */
final class EarlyRequests {

  /** A first reading takes up to 0.35 s on the users' smallest hosts; then callers are told. */
  static final long WAIT_MILLIS = 500;

  /** More requests than a host gets in that time; the others are refused at once. */
  private static final int MAXIMUM_REQUESTS = 256;

  private final long endMillis;
  private final List<Runnable> kept = new ArrayList<>();

  /**
   * Begins to keep requests.
   *
   * @param startedMillis the time of the host's start
   */
  EarlyRequests(long startedMillis) {
    endMillis = startedMillis + WAIT_MILLIS;
  }

  /**
   * Keeps a request if the first reading may still come in time.
   *
   * @param forward goes on with the request
   * @param nowMillis the time
   * @return whether it is kept
   */
  boolean keep(Runnable forward, long nowMillis) {
    if (nowMillis >= endMillis || kept.size() >= MAXIMUM_REQUESTS) {
      return false;
    }
    kept.add(forward);
    return true;
  }

  /** Goes on with all that waits, in the order of arrival. */
  void release() {
    List<Runnable> released = List.copyOf(kept);
    kept.clear();
    released.forEach(Runnable::run);
  }
}
