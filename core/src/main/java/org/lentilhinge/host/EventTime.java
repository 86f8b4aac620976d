package org.lentilhinge.host;

/** Holds the monotonic time of the event that is being handled. */
final class EventTime {

  private long nowMillis;

  EventTime(long nowMillis) {
    this.nowMillis = nowMillis;
  }

  long nowMillis() {
    return nowMillis;
  }

  void set(long millis) {
    nowMillis = millis;
  }
}
