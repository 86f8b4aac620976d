package org.lentilhinge.runtime.gateway;

import io.reactivex.rxjava3.core.Single;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.runtime.engine.EngineClient;
import org.lentilhinge.runtime.engine.EngineOrder;

/**
 * Selects the engine with the fewest running attempts of this host, and loads the adapter version
 * on that engine unless this host has already loaded it there. This is a simple baseline for a
 * single host: it never unloads adapters and does not coordinate with other hosts.
 */
public final class LeastLoadedDispatcher implements Dispatcher {

  private final Supplier<Configuration> configuration;
  private final EngineClient engines;
  private final FencingToken fencingToken;
  private final LongSupplier nowMillis;
  private final Map<EndpointId, Integer> runningAttempts = new HashMap<>();
  private final Map<EndpointId, Set<AdapterVersion>> residentVersions = new HashMap<>();

  /**
   * Creates a dispatcher.
   *
   * @param configuration supplies the applied configuration
   * @param engines sends the load orders
   * @param fencingToken the fencing token of the load orders
   * @param nowMillis the host's monotonic clock, in milliseconds
   */
  public LeastLoadedDispatcher(
      Supplier<Configuration> configuration,
      EngineClient engines,
      FencingToken fencingToken,
      LongSupplier nowMillis) {
    this.configuration = configuration;
    this.engines = engines;
    this.fencingToken = fencingToken;
    this.nowMillis = nowMillis;
  }

  @Override
  public Single<Assignment> assign(AssignmentRequest request) {
    long startMillis = nowMillis.getAsLong();
    Optional<Engine> chosen = choose(request);
    if (chosen.isEmpty()) {
      return Single.error(new AssignmentException("no engine is left to try"));
    }
    Engine engine = chosen.get();
    if (isResident(engine.id(), request.adapter())) {
      return Single.just(assignment(request, engine, "resident", startMillis));
    }
    EngineOrder order =
        new EngineOrder(engine.id(), engine.address(), request.adapter(), fencingToken);
    return engines
        .load(order, () -> true)
        .toSingle(
            () -> {
              markResident(engine.id(), request.adapter());
              return assignment(request, engine, "loaded", startMillis);
            })
        .onErrorResumeNext(
            error -> {
              release(engine.id());
              return Single.error(new AssignmentException("load failed on " + engine.id()));
            });
  }

  @Override
  public boolean mayDispatch(Assignment assignment) {
    return true;
  }

  @Override
  public void onAttemptEnded(Assignment assignment, AttemptOutcome outcome) {
    release(assignment.endpoint());
  }

  @Override
  public void onRequestFinished(RequestId request) {
    // State is kept per attempt, not per request.
  }

  private synchronized Optional<Engine> choose(AssignmentRequest request) {
    Configuration current = configuration.get();
    Optional<Engine> chosen =
        current.adapter(request.adapter().adapter()).stream()
            .flatMap(
                adapter ->
                    current.engines().values().stream()
                        .filter(engine -> engine.baseModel().equals(adapter.baseModel())))
            .filter(engine -> !request.triedEndpoints().contains(engine.id()))
            .min(Comparator.comparing(this::runningAttemptCount).thenComparing(Engine::id));
    chosen.ifPresent(engine -> runningAttempts.merge(engine.id(), 1, Integer::sum));
    return chosen;
  }

  private int runningAttemptCount(Engine engine) {
    return runningAttempts.getOrDefault(engine.id(), 0);
  }

  private synchronized void release(EndpointId endpoint) {
    runningAttempts.computeIfPresent(endpoint, (ignored, count) -> count == 1 ? null : count - 1);
  }

  private synchronized boolean isResident(EndpointId endpoint, AdapterVersion adapter) {
    return residentVersions.getOrDefault(endpoint, Set.of()).contains(adapter);
  }

  private synchronized void markResident(EndpointId endpoint, AdapterVersion adapter) {
    residentVersions.computeIfAbsent(endpoint, ignored -> new HashSet<>()).add(adapter);
  }

  private Assignment assignment(
      AssignmentRequest request, Engine engine, String reason, long startMillis) {
    return new Assignment(
        request.attempt(),
        engine.id(),
        engine.address(),
        request.adapter(),
        reason,
        nowMillis.getAsLong() - startMillis);
  }
}
