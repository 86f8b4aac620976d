package org.lentilhinge.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;

/** Simulates an engine with continuous batching, step by step in virtual time. */
final class SimulatedEngine {

  private static final int MAXIMUM_CACHED_PREFIXES = 32;
  private static final double CACHED_PREFIX_FRACTION = 0.6;

  private record Waiting(ReplayRequest request, long sequence) {}

  private final EngineModel model;
  private final VirtualClock clock;
  private final Consumer<ReplayRequest> onComplete;
  private final PriorityQueue<Waiting> waiting =
      new PriorityQueue<>(
          Comparator.comparing((Waiting entry) -> entry.request().classified().urgency())
              .thenComparingLong(Waiting::sequence));
  private final List<ReplayRequest> running = new ArrayList<>();
  private final Set<Long> cachedPrefixes = new LinkedHashSet<>();
  private final EngineActivity activity = new EngineActivity();
  private long sequence;
  private long incarnation;
  private boolean stepping;
  private boolean failed;

  SimulatedEngine(EngineModel model, VirtualClock clock, Consumer<ReplayRequest> onComplete) {
    this.model = model;
    this.clock = clock;
    this.onComplete = onComplete;
  }

  EngineActivity activity() {
    return activity;
  }

  int running() {
    return running.size();
  }

  int queued() {
    return waiting.size();
  }

  boolean hasFailed() {
    return failed;
  }

  void submit(ReplayRequest request) {
    waiting.add(new Waiting(request, sequence++));
    if (!stepping) {
      step();
    }
  }

  /** Drops and returns all running and waiting requests. */
  List<ReplayRequest> restart() {
    List<ReplayRequest> dropped = new ArrayList<>(running);
    waiting.forEach(entry -> dropped.add(entry.request()));
    running.clear();
    waiting.clear();
    cachedPrefixes.clear();
    incarnation++;
    stepping = false;
    return dropped;
  }

  List<ReplayRequest> fail() {
    failed = true;
    return restart();
  }

  private void step() {
    double millis = model.stepMillis();
    while (running.size() < model.batchSlots() && !waiting.isEmpty()) {
      ReplayRequest next = waiting.poll().request();
      millis += prefillMillis(next.arrival());
      running.add(next);
    }
    stepping = !running.isEmpty();
    if (!stepping) {
      return;
    }
    long stepMillis = Math.round(millis + model.stepMillisPerRequest() * running.size());
    activity.recordStep(running.size(), stepMillis);
    long startedIncarnation = incarnation;
    clock.scheduleAfter(
        stepMillis,
        () -> {
          if (incarnation == startedIncarnation) {
            finishStep();
          }
        });
  }

  private void finishStep() {
    List<ReplayRequest> complete = new ArrayList<>();
    for (ReplayRequest request : running) {
      if (request.recordToken(clock.nowMillis())) {
        complete.add(request);
      }
    }
    running.removeAll(complete);
    step();
    complete.forEach(onComplete);
  }

  private double prefillMillis(Arrival arrival) {
    boolean cached = cachedPrefixes.remove(arrival.promptPrefix());
    cachedPrefixes.add(arrival.promptPrefix());
    if (cachedPrefixes.size() > MAXIMUM_CACHED_PREFIXES) {
      cachedPrefixes.remove(cachedPrefixes.iterator().next());
    }
    double uncachedFraction = cached ? 1 - CACHED_PREFIX_FRACTION : 1;
    return uncachedFraction * arrival.promptTokens() * model.prefillMillisPerToken();
  }
}
