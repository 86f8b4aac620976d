package org.lentilhinge.permit;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The requests that have a permit for one engine. */
final class RunningRequests {

  /** The typical time between two tokens, used to predict which adapter becomes idle first. */
  private static final double TOKEN_MILLIS = 12;

  private final Map<String, Running> running = new LinkedHashMap<>();
  private int tokens;

  /**
   * A request that has a permit.
   *
   * @param host the host that sent the permit request
   * @param ask the permit request
   * @param grantedMillis the time at which the permit was granted, in milliseconds
   * @param readMillis the predicted time from the grant to the end of its prefill, in milliseconds
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

  /** Returns whether another request fits the batch and the memory; a single one always does. */
  boolean fits(PermitAsk request, DeskSettings settings) {
    return running.isEmpty()
        || (running.size() < settings.batchSlots()
            && tokens + tokens(request) <= settings.memoryTokens());
  }

  /** Returns the predicted end of the last running request of an adapter; 0 if it has none. */
  long endMillis(String adapter) {
    return running.values().stream()
        .filter(run -> run.ask().adapter().equals(adapter))
        .mapToLong(Running::endMillis)
        .max()
        .orElse(0);
  }

  private static int tokens(PermitAsk request) {
    return request.promptTokens() + request.outputTokens();
  }
}
