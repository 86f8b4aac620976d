package org.lentilhinge.permit;

import java.util.Optional;

/**
 * A permit request in the queue of an engine scheduler.
 *
 * @param host the host that sent the permit request
 * @param request the permit request
 * @param arrivedAtMillis the time of its arrival, in milliseconds
 * @param slotsAhead the number of adapters that waited for a slot when it arrived, or {@link
 *     #NO_SLOT}
 */
record QueueEntry(String host, PermitRequest request, long arrivedAtMillis, int slotsAhead) {

  /** The value of {@code slotsAhead} for a request that does not wait for a slot. */
  static final int NO_SLOT = -1;

  /** The minimum time that a request needs at the engine before its deadline, in milliseconds. */
  static final long MINIMUM_RUN_MILLIS = 300;

  /** The fraction of the time to its target that a request may wait before it is refused. */
  private static final double MAXIMUM_WAIT_FRACTION = 0.85;

  /** The number of priorities that are counted separately; the last one includes all others. */
  static final int PRIORITY_CLASSES = 10;

  /** Returns the priority, limited to the classes that are counted. */
  int priorityClass() {
    return Math.max(0, Math.min(PRIORITY_CLASSES - 1, request.priority()));
  }

  Optional<CustomerStanding> standing() {
    return standing(request);
  }

  static Optional<CustomerStanding> standing(PermitRequest request) {
    return request.terms().flatMap(PermitTerms::customer);
  }

  String key() {
    return key(host, request.permitId());
  }

  static String key(String host, long permitId) {
    return host + '#' + permitId;
  }

  long targetAtMillis() {
    return arrivedAtMillis + request.remainingTargetMillis();
  }

  boolean canMeetTarget(long nowMillis) {
    return nowMillis < targetAtMillis();
  }

  long waitedMillis(long nowMillis) {
    return nowMillis - arrivedAtMillis;
  }

  boolean waitsForSlot() {
    return slotsAhead != NO_SLOT;
  }

  boolean isOverdue(long nowMillis) {
    long waited = waitedMillis(nowMillis);
    return waited + MINIMUM_RUN_MILLIS >= request.remainingMillis()
        || waited >= request.remainingTargetMillis() * MAXIMUM_WAIT_FRACTION;
  }

  /** Returns the longest expected wait for which a request is accepted, in milliseconds. */
  static long maximumWaitMillis(PermitRequest request) {
    long statedMillis = request.terms().isPresent() ? request.terms().get().maximumWaitMillis() : 0;
    return statedMillis > 0 ? statedMillis : Long.MAX_VALUE;
  }

  /** Permits the request, whose adapter is resident. */
  EngineCommand permit(long nowMillis) {
    PermitAnswer answer = new PermitAnswer(request.permitId(), true, 0, "resident");
    return new EngineCommand.Answer(host, answer, request, waitedMillis(nowMillis));
  }

  /** Refuses the request; the requesting host should retry after a time in milliseconds. */
  EngineCommand refusal(long retryMillis, String reason, long nowMillis) {
    return EngineCommand.Answer.refusal(
        host, request, retryMillis, reason, waitedMillis(nowMillis));
  }
}
