package org.lentilhinge.host;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.RequestId;

/** A fake engine that keeps adapters, runs requests and reports violated invariants. */
final class VirtualEngine {

  private final Engine engine;
  private final VirtualTime time;
  private final Consumer<String> violationListener;
  private final Set<AdapterVersion> resident = new HashSet<>();
  private final Set<AdapterVersion> loading = new HashSet<>();
  private final Map<RequestId, AdapterVersion> running = new HashMap<>();
  private Optional<FencingToken> highestToken = Optional.empty();
  private long incarnation = 1;

  VirtualEngine(Engine engine, VirtualTime time, Consumer<String> violationListener) {
    this.engine = engine;
    this.time = time;
    this.violationListener = violationListener;
  }

  Engine engine() {
    return engine;
  }

  int loadsInFlight() {
    return loading.size();
  }

  EngineState report(long takenAfterMillis) {
    return new EngineState(
        engine.id(),
        incarnation,
        highestToken,
        resident,
        Set.copyOf(running.values()),
        running.size(),
        0,
        false,
        takenAfterMillis);
  }

  /** Starts a load; returns its outcome if it ends at once. */
  Optional<OrderOutcome> load(
      AdapterVersion version,
      FencingToken fencing,
      boolean fails,
      long loadMillis,
      Consumer<OrderOutcome> onOutcome) {
    Optional<OrderOutcome> rejection = checkFencing(fencing);
    if (rejection.isPresent()) {
      return rejection;
    }
    if (resident.contains(version)) {
      return Optional.of(new OrderOutcome.Done(fencing));
    }
    if (resident.size() + loading.size() >= engine.adapterSlots() || !loading.add(version)) {
      return Optional.of(new OrderOutcome.Failed("no free adapter slot"));
    }
    long startedIncarnation = incarnation;
    time.after(
        loadMillis,
        () -> {
          if (startedIncarnation != incarnation) {
            onOutcome.accept(new OrderOutcome.Unanswered());
            return;
          }
          loading.remove(version);
          if (fails) {
            onOutcome.accept(new OrderOutcome.Failed("load failed"));
          } else {
            resident.add(version);
            onOutcome.accept(new OrderOutcome.Done(fencing));
          }
        });
    return Optional.empty();
  }

  OrderOutcome unload(AdapterVersion version, FencingToken fencing) {
    Optional<OrderOutcome> rejection = checkFencing(fencing);
    if (rejection.isPresent()) {
      return rejection.get();
    }
    if (running.containsValue(version)) {
      violationListener.accept(engine.id() + " unloads " + version + " while it is in use");
    }
    resident.remove(version);
    return new OrderOutcome.Done(fencing);
  }

  /** Starts a request; returns whether the engine runs it. */
  boolean run(RequestId request, AdapterVersion version) {
    if (!resident.contains(version)) {
      return false;
    }
    running.put(request, version);
    return true;
  }

  /** Ends a request; returns whether the engine was still running it. */
  boolean finish(RequestId request) {
    return running.remove(request) != null;
  }

  void restart() {
    incarnation++;
    resident.clear();
    loading.clear();
    running.clear();
  }

  private Optional<OrderOutcome> checkFencing(FencingToken fencing) {
    if (engine.fencing() == FencingSupport.IGNORED) {
      return Optional.empty();
    }
    if (highestToken.filter(seen -> fencing.compareTo(seen) < 0).isPresent()) {
      return Optional.of(new OrderOutcome.Fenced(fencing, highestToken.get()));
    }
    highestToken = Optional.of(fencing);
    return Optional.empty();
  }
}
