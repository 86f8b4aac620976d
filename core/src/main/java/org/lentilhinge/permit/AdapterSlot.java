package org.lentilhinge.permit;

/** Follows one adapter that an engine holds, loads or unloads. */
final class AdapterSlot {

  /** Names the states of a slot. */
  enum State {
    LOADING,
    RESIDENT,
    UNLOADING
  }

  final String adapter;
  long version;
  State state;
  int users;
  long changedMillis;
  long usedMillis;

  AdapterSlot(String adapter, long version, State state, long nowMillis) {
    this.adapter = adapter;
    this.version = version;
    this.state = state;
    this.changedMillis = nowMillis;
    this.usedMillis = nowMillis;
  }

  boolean isIdle() {
    return state == State.RESIDENT && users == 0;
  }
}
