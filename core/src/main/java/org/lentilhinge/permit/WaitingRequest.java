package org.lentilhinge.permit;

/**
 * A permit request in the queue of an engine scheduler.
 *
 * @param host the host that sent the permit request
 * @param ask the permit request
 * @param arrivedMillis the time of its arrival, in milliseconds
 * @param slotsAhead the number of adapters that waited for a slot when it arrived, or {@link
 *     #NO_SLOT}
 */
record WaitingRequest(String host, PermitAsk ask, long arrivedMillis, int slotsAhead) {

  /** Marks a request that does not need another slot for its adapter. */
  static final int NO_SLOT = -1;

  String key() {
    return key(host, ask.ask());
  }

  static String key(String host, long permitId) {
    return host + '#' + permitId;
  }

  long aimAtMillis() {
    return arrivedMillis + ask.aimMillis();
  }

  boolean canBeOnTime(long nowMillis) {
    return nowMillis < aimAtMillis();
  }

  long waitedMillis(long nowMillis) {
    return nowMillis - arrivedMillis;
  }

  boolean waitsForSlot() {
    return slotsAhead != NO_SLOT;
  }
}
