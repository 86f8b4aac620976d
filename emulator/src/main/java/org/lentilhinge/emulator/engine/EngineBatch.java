package org.lentilhinge.emulator.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;

/** Runs continuous batching: a batch slot that becomes free is filled at the next step. */
final class EngineBatch {

  private final int slotCount;
  private final StepTimer timer;
  private final EngineStatistics statistics;
  private final List<EngineAttempt> running = new ArrayList<>();
  private final List<EngineAttempt> waiting = new ArrayList<>();
  private boolean scheduled;

  EngineBatch(int slots, StepTimer timer, EngineStatistics statistics) {
    this.slotCount = slots;
    this.timer = timer;
    this.statistics = statistics;
  }

  synchronized void add(EngineAttempt run) {
    waiting.add(run);
    schedule();
  }

  /** Cancels an attempt. Returns whether the attempt was running or waiting. */
  synchronized boolean remove(EngineAttempt run) {
    boolean removed = running.remove(run) | waiting.remove(run);
    if (removed) {
      statistics.recordCancellation();
    }
    return removed;
  }

  /** Cancels the attempts with an id and ends their responses. Returns whether there were any. */
  synchronized boolean cancel(String attempt) {
    List<EngineAttempt> found =
        allAttempts().stream().filter(run -> run.attemptId().equals(attempt)).toList();
    found.forEach(this::remove);
    found.forEach(run -> run.response().end());
    return !found.isEmpty();
  }

  synchronized boolean isInUse(AdapterVersion adapter) {
    return allAttempts().stream().anyMatch(run -> run.adapter().equals(adapter));
  }

  synchronized int running() {
    return running.size();
  }

  synchronized int waiting() {
    return waiting.size();
  }

  synchronized Set<String> attempts() {
    Set<String> attempts = new HashSet<>();
    allAttempts().forEach(run -> attempts.add(run.attemptId()));
    return attempts;
  }

  synchronized void clear() {
    running.clear();
    waiting.clear();
  }

  private List<EngineAttempt> allAttempts() {
    List<EngineAttempt> all = new ArrayList<>(running);
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
    fillSlots();
    statistics.recordStep(running.size());
    for (EngineAttempt run : List.copyOf(running)) {
      if (run.step()) {
        running.remove(run);
      }
    }
    if (!running.isEmpty() || !waiting.isEmpty()) {
      schedule();
    }
  }

  private void fillSlots() {
    // The sort is stable, so attempts of equal priority keep their arrival order.
    waiting.sort(Comparator.comparingInt(EngineAttempt::priority));
    while (running.size() < slotCount && !waiting.isEmpty()) {
      running.add(waiting.remove(0));
    }
  }
}
