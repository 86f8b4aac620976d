package org.lentilhinge.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;

/** Simulates an engine with continuous batching, step by step in virtual time. */
final class EngineFake {

  private static final int PREFIXES_CACHED = 32;
  private static final double CACHED_PREFIX_PART = 0.6;

  private record Waiting(ReplayRequest request, long sequence) {}

  private final EngineModel model;
  private final VirtualTime time;
  private final Consumer<ReplayRequest> completed;
  private final PriorityQueue<Waiting> waiting =
      new PriorityQueue<>(
          Comparator.comparing((Waiting entry) -> entry.request().classified().urgency())
              .thenComparingLong(Waiting::sequence));
  private final List<ReplayRequest> running = new ArrayList<>();
  private final Set<Long> prefixes = new LinkedHashSet<>();
  private final EngineMeasures measures = new EngineMeasures();
  private long sequence;
  private long life;
  private boolean stepping;
  private boolean lost;

  EngineFake(EngineModel model, VirtualTime time, Consumer<ReplayRequest> onComplete) {
    this.model = model;
    this.time = time;
    this.completed = onComplete;
  }

  EngineMeasures measures() {
    return measures;
  }

  int running() {
    return running.size();
  }

  int queued() {
    return waiting.size();
  }

  boolean isLost() {
    return lost;
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
    prefixes.clear();
    life++;
    stepping = false;
    return dropped;
  }

  List<ReplayRequest> lose() {
    lost = true;
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
    measures.step(running.size(), stepMillis);
    long startedIncarnation = life;
    time.after(
        stepMillis,
        () -> {
          if (life == startedIncarnation) {
            finishStep();
          }
        });
  }

  private void finishStep() {
    List<ReplayRequest> complete = new ArrayList<>();
    for (ReplayRequest request : running) {
      if (request.generated(time.nowMillis())) {
        complete.add(request);
      }
    }
    running.removeAll(complete);
    step();
    complete.forEach(completed);
  }

  private double prefillMillis(Arrival arrival) {
    boolean cached = prefixes.remove(arrival.promptPrefix());
    prefixes.add(arrival.promptPrefix());
    if (prefixes.size() > PREFIXES_CACHED) {
      prefixes.remove(prefixes.iterator().next());
    }
    double part = cached ? 1 - CACHED_PREFIX_PART : 1;
    return part * arrival.promptTokens() * model.prefillMillisPerToken();
  }
}
