package org.lentilhinge.permit;

/** The state of one adapter that is loaded, loading or unloading on an engine. */
final class AdapterSlot {

  /** The states of a slot, which is occupied in each of them. */
  enum State {
    LOADING,
    /** The engine holds the former version until its runs end, and was ordered a newer one. */
    REPLACING,
    RESIDENT,
    UNLOADING
  }

  final String adapter;
  long version;
  State state;
  int runningRequests;

  /** Whether a load is known only from a report, as it was ordered under another ownership. */
  boolean orderedElsewhere;

  long changedAtMillis;
  long lastUsedAtMillis;

  AdapterSlot(String adapter, long version, State state, long nowMillis) {
    this.adapter = adapter;
    this.version = version;
    this.state = state;
    this.changedAtMillis = nowMillis;
    this.lastUsedAtMillis = nowMillis;
  }

  void recordStart(long nowMillis) {
    runningRequests++;
    lastUsedAtMillis = nowMillis;
  }

  void recordEnd(long nowMillis) {
    runningRequests = Math.max(0, runningRequests - 1);
    lastUsedAtMillis = nowMillis;
  }

  void setResident(long residentVersion, long nowMillis) {
    state = State.RESIDENT;
    orderedElsewhere = false;
    version = residentVersion;
    changedAtMillis = nowMillis;
    lastUsedAtMillis = nowMillis;
  }

  boolean isLoading() {
    return state == State.LOADING || state == State.REPLACING;
  }

  boolean isIdle() {
    return state == State.RESIDENT && runningRequests == 0;
  }
}
