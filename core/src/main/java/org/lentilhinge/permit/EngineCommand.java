package org.lentilhinge.permit;

/** A command that an engine scheduler issues. */
public sealed interface EngineCommand {

  /**
   * Answers a permit request.
   *
   * @param host the host that sent the permit request
   * @param answer the answer
   * @param request the permit request
   * @param waitedMillis how long the permit request waited, in milliseconds
   */
  record Answer(String host, PermitAnswer answer, PermitRequest request, long waitedMillis)
      implements EngineCommand {

    private static final long MINIMUM_RETRY_MILLIS = 100;

    /**
     * Refuses a permit request.
     *
     * @param host the host that sent the permit request
     * @param request the permit request
     * @param retryMillis the time after which a retry is worthwhile, in milliseconds
     * @param reason the reason, for the log
     * @param waitedMillis how long the permit request waited, in milliseconds
     * @return the answer
     */
    public static Answer refusal(
        String host, PermitRequest request, long retryMillis, String reason, long waitedMillis) {
      long retry = Math.max(MINIMUM_RETRY_MILLIS, retryMillis);
      return new Answer(
          host, new PermitAnswer(request.permitId(), false, retry, reason), request, waitedMillis);
    }

    /** Refuses a permit request because of the request limit that the engine states. */
    static Answer limitRefusal(String host, PermitRequest request, long retryMillis) {
      return refusal(host, request, retryMillis, PermitAnswer.ENDPOINT_LIMIT, 0);
    }
  }

  /** Reads a report to find out whether this host reaches the engine. */
  record CheckReachable() implements EngineCommand {}

  /**
   * Sends an order to the engine.
   *
   * @param order the order
   * @param reason the reason, for the log
   */
  record Order(AdapterOrder order, String reason) implements EngineCommand {}
}
