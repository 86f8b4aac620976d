package org.lentilhinge.permit;

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
}
