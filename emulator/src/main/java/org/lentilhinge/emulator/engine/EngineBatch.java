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

  EngineBatch(int slotCount, StepTimer timer, EngineStatistics statistics) {
    this.slotCount = slotCount;
    this.timer = timer;
    this.statistics = statistics;
  }

  synchronized void add(EngineAttempt attempt) {
    waiting.add(attempt);
    schedule();
  }

  /** Cancels an attempt. Returns whether the attempt was running or waiting. */
  synchronized boolean remove(EngineAttempt attempt) {
    boolean removed = running.remove(attempt) | waiting.remove(attempt);
    if (removed) {
      statistics.recordCancellation();
    }
    return removed;
  }

  /** Cancels the attempts with an id and ends their responses. Returns whether any were found. */
  synchronized boolean cancel(String attemptId) {
    List<EngineAttempt> found =
        allAttempts().stream().filter(attempt -> attempt.attemptId().equals(attemptId)).toList();
    found.forEach(this::remove);
    found.forEach(attempt -> attempt.response().end());
    return !found.isEmpty();
  }

  synchronized boolean isInUse(AdapterVersion adapter) {
    return allAttempts().stream().anyMatch(attempt -> attempt.adapter().equals(adapter));
  }

  synchronized int running() {
    return running.size();
  }

  synchronized int waiting() {
    return waiting.size();
  }

  synchronized Set<String> attempts() {
    Set<String> attemptIds = new HashSet<>();
    allAttempts().forEach(attempt -> attemptIds.add(attempt.attemptId()));
    return attemptIds;
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
    for (EngineAttempt attempt : List.copyOf(running)) {
      if (attempt.step()) {
        running.remove(attempt);
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
