package org.lentilhinge.emulator.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;

/** Runs continuous batching: a batch slot that becomes free is filled at the next step. */
final class EngineBatch {

  private final int slots;
  private final StepTimer timer;
  private final EngineStatistics statistics;
  private final List<EngineRun> running = new ArrayList<>();
  private final List<EngineRun> waiting = new ArrayList<>();
  private boolean scheduled;

  EngineBatch(int slots, StepTimer timer, EngineStatistics statistics) {
    this.slots = slots;
    this.timer = timer;
    this.statistics = statistics;
  }

  synchronized void add(EngineRun run) {
    waiting.add(run);
    schedule();
  }

  /** Cancels an attempt. Returns whether the attempt was running or waiting. */
  synchronized boolean remove(EngineRun run) {
    boolean removed = running.remove(run) | waiting.remove(run);
    if (removed) {
      statistics.cancel();
    }
    return removed;
  }

  /** Cancels the attempts with an id and ends their responses. Returns whether there were any. */
  synchronized boolean cancel(String attempt) {
    List<EngineRun> found = all().stream().filter(run -> run.attempt().equals(attempt)).toList();
    found.forEach(this::remove);
    found.forEach(run -> run.response().end());
    return !found.isEmpty();
  }

  synchronized boolean isInUse(AdapterVersion adapter) {
    return all().stream().anyMatch(run -> run.adapter().equals(adapter));
  }

  synchronized int running() {
    return running.size();
  }

  synchronized int waiting() {
    return waiting.size();
  }

  synchronized Set<String> attempts() {
    Set<String> attempts = new HashSet<>();
    all().forEach(run -> attempts.add(run.attempt()));
    return attempts;
  }

  synchronized void clear() {
    running.clear();
    waiting.clear();
  }

  private List<EngineRun> all() {
    List<EngineRun> all = new ArrayList<>(running);
    all.addAll(waiting);
    return all;
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      timer.schedule(this::step);
    }
  }

  private synchronized void step() {
    scheduled = false;
    fill();
    statistics.step(running.size());
    for (EngineRun run : List.copyOf(running)) {
      if (run.step()) {
        running.remove(run);
      }
    }
    if (!running.isEmpty() || !waiting.isEmpty()) {
      schedule();
    }
  }

  private void fill() {
    // The sort is stable, so attempts of equal priority keep their arrival order.
    waiting.sort(Comparator.comparingInt(EngineRun::priority));
    while (running.size() < slots && !waiting.isEmpty()) {
      running.add(waiting.remove(0));
    }
  }
}
