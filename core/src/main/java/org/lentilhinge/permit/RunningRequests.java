package org.lentilhinge.permit;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The requests that have a permit for one engine. */
final class RunningRequests {

  /** The typical time per token, by which the adapter that becomes idle first is predicted. */
  private static final double MILLIS_PER_TOKEN = 12;

  private final Map<String, Running> running = new LinkedHashMap<>();
  private long tokens;

  /**
   * A request that has a permit.
   *
   * @param host the host that sent the permit request
   * @param request the permit request
   * @param grantedAtMillis the time at which the permit was granted, in milliseconds
   * @param predictedPrefillMillis the predicted time from the grant to the end of its prefill, in
   *     milliseconds
   */
  record Running(
      String host, PermitRequest request, long grantedAtMillis, long predictedPrefillMillis) {

    long predictedEndAtMillis() {
      return grantedAtMillis + Math.round(request.outputTokens() * MILLIS_PER_TOKEN);
    }
  }

  void add(Running run) {
    running.put(QueueEntry.key(run.host(), run.request().permitId()), run);
    tokens += tokens(run.request());
  }

  Optional<Running> remove(String key) {
    Optional<Running> run = Optional.ofNullable(running.remove(key));
    run.ifPresent(removed -> tokens -= tokens(removed.request()));
    return run;
  }

  List<Running> ended(EndedPermits ended, long nowMillis) {
    return running.values().stream()
        .filter(run -> ended.contains(run.host(), run.request(), nowMillis - run.grantedAtMillis()))
        .toList();
  }

  List<Running> all() {
    return List.copyOf(running.values());
  }

  boolean isEmpty() {
    return running.isEmpty();
  }

  /** Returns whether a further request fits into batch and memory; the first one always fits. */
  boolean fits(PermitRequest request, SchedulerSettings settings) {
    return fits(request, settings, 0);
  }

  /** Returns whether a further request fits beside a number of tokens that are to stay free. */
  boolean fits(PermitRequest request, SchedulerSettings settings, int tokensToLeave) {
    return running.isEmpty()
        || (running.size() < settings.batchSlots()
            && tokens + tokens(request) + tokensToLeave <= settings.memoryTokens());
  }

  /** Returns the predicted end of the last running request of an adapter; 0 if it has none. */
  long predictedEndAtMillis(String adapter) {
    return running.values().stream()
        .filter(run -> run.request().adapter().equals(adapter))
        .mapToLong(Running::predictedEndAtMillis)
        .max()
        .orElse(0);
  }

  static long tokens(PermitRequest request) {
    return (long) request.promptTokens() + request.outputTokens();
  }
}
