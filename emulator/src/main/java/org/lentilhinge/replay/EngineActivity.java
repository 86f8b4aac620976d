package org.lentilhinge.replay;

/** Counts an engine's decoding steps and tokens, and the occupancy of its batch slots. */
final class EngineActivity {

  private long busyMillis;
  private long occupiedMillis;
  private long steps;
  private long tokens;

  void recordStep(int running, long stepMillis) {
    busyMillis += stepMillis;
    occupiedMillis += running * stepMillis;
    steps++;
    tokens += running;
  }

  EngineActivity copy() {
    EngineActivity copy = new EngineActivity();
    copy.busyMillis = busyMillis;
    copy.occupiedMillis = occupiedMillis;
    copy.steps = steps;
    copy.tokens = tokens;
    return copy;
  }

  void reset() {
    busyMillis = 0;
    occupiedMillis = 0;
    steps = 0;
    tokens = 0;
  }

  long busyMillis() {
    return busyMillis;
  }

  long occupiedMillis() {
    return occupiedMillis;
  }

  long steps() {
    return steps;
  }

  long tokens() {
    return tokens;
  }
}
