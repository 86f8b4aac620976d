package org.lentilhinge.permit;

/**
 * Keeps memory of the engine free for the largest requests. Otherwise smaller ones would take all
 * memory that becomes free, and the largest requests would never fit.
 */
final class MemoryReservation {

  /** The part of the memory from which a request is one of the largest. */
  private static final double LARGE_PART = 0.125;

  /**
   * The number of large requests refused in succession after which memory is reserved. It is that
   * of {@link RefusalRuns}, so that about one of nine is served.
   */
  private static final int MAXIMUM_RUN = 8;

  private final int memoryTokens;
  private int run;
  private int reservedTokens;
  private long endAtMillis;

  MemoryReservation(int memoryTokens) {
    this.memoryTokens = memoryTokens;
  }

  /**
   * Records a refusal for want of memory or prefill. The reservation lasts as long as the callers
   * of the requests that need all of it may return.
   */
  void recordRefusal(PermitRequest request, long nowMillis) {
    if (reservedTokens > 0 && nowMillis >= endAtMillis) {
      run = 0;
      reservedTokens = 0;
    }
    long tokens = RunningRequests.tokens(request);
    if (tokens < memoryTokens * LARGE_PART) {
      return;
    }
    run++;
    int neededTokens = (int) Math.min(memoryTokens, tokens);
    if (run >= MAXIMUM_RUN && neededTokens >= reservedTokens) {
      reservedTokens = neededTokens;
      endAtMillis = Math.max(endAtMillis, nowMillis + request.remainingMillis());
    }
  }

  /** Ends the run, and the reservation if the request is as large as the one it was made for. */
  void recordPermit(PermitRequest request) {
    long tokens = RunningRequests.tokens(request);
    if (tokens >= memoryTokens * LARGE_PART && tokens >= reservedTokens) {
      run = 0;
      reservedTokens = 0;
    }
  }

  /** Returns the number of tokens that a request has to leave free. */
  int tokensToLeave(PermitRequest request, long nowMillis) {
    if (nowMillis >= endAtMillis || RunningRequests.tokens(request) >= reservedTokens) {
      return 0;
    }
    return reservedTokens;
  }
}
