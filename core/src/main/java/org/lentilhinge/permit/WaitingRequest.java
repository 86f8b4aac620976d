package org.lentilhinge.permit;

/**
 * A request that waits at a desk.
 *
 * @param host the host that asked
 * @param ask the ask
 * @param arrivedMillis the time of its arrival
 * @param slotsAhead the adapters that waited for a slot before it, or {@link #NO_SLOT}
 */
record WaitingRequest(String host, PermitAsk ask, long arrivedMillis, int slotsAhead) {

  /** Marks a request that does not wait for a slot of its own. */
  static final int NO_SLOT = -1;

  String key() {
    return key(host, ask.ask());
  }

  static String key(String host, long ask) {
    return host + '#' + ask;
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
