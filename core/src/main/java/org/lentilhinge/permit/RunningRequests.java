package org.lentilhinge.permit;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Keeps the requests that were permitted to run at one engine. */
final class RunningRequests {

  /** The usual time from token to token, to tell which adapter is free soonest. */
  private static final double TOKEN_MILLIS = 12;

  private final Map<String, Running> running = new LinkedHashMap<>();
  private int tokens;

  /**
   * A request that runs.
   *
   * @param host the host that sent it
   * @param ask the ask
   * @param grantedMillis the time of the permit
   * @param readMillis the time predicted for its first event
   */
  record Running(String host, PermitAsk ask, long grantedMillis, long readMillis) {

    long endMillis() {
      return grantedMillis + Math.round(ask.outputTokens() * TOKEN_MILLIS);
    }
  }

  void add(Running run) {
    running.put(WaitingRequest.key(run.host(), run.ask().ask()), run);
    tokens += tokens(run.ask());
  }

  Optional<Running> remove(String key) {
    Optional<Running> run = Optional.ofNullable(running.remove(key));
    run.ifPresent(ended -> tokens -= tokens(ended.ask()));
    return run;
  }

  List<Running> all() {
    return List.copyOf(running.values());
  }

  boolean isEmpty() {
    return running.isEmpty();
  }

  /** Tells whether one more request fits the batch and the memory; one alone always does. */
  boolean fits(PermitAsk ask, DeskSettings settings) {
    return running.isEmpty()
        || (running.size() < settings.batchSlots()
            && tokens + tokens(ask) <= settings.memoryTokens());
  }

  /** Predicts when the last run of an adapter ends; 0 if it has none. */
  long endMillis(String adapter) {
    return running.values().stream()
        .filter(run -> run.ask().adapter().equals(adapter))
        .mapToLong(Running::endMillis)
        .max()
        .orElse(0);
  }

  private static int tokens(PermitAsk ask) {
    return ask.promptTokens() + ask.outputTokens();
  }
}
