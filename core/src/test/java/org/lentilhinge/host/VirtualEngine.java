package org.lentilhinge.host;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.FencingTrait;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.FencingNumber;
import org.lentilhinge.identity.RequestId;

/** A fake engine that keeps adapters, runs requests and reports violated invariants. */
final class VirtualEngine {

  private final Engine engine;
  private final VirtualTime time;
  private final Consumer<String> violation;
  private final Set<AdapterVersion> resident = new HashSet<>();
  private final Set<AdapterVersion> loading = new HashSet<>();
  private final Map<RequestId, AdapterVersion> running = new HashMap<>();
  private Optional<FencingNumber> highest = Optional.empty();
  private long start = 1;

  VirtualEngine(Engine engine, VirtualTime time, Consumer<String> violationListener) {
    this.engine = engine;
    this.time = time;
    this.violation = violationListener;
  }

  Engine engine() {
    return engine;
  }

  int loadsInFlight() {
    return loading.size();
  }

  EngineState report(long takenMillis) {
    return new EngineState(
        engine.id(),
        start,
        highest,
        resident,
        Set.copyOf(running.values()),
        running.size(),
        0,
        false,
        takenMillis);
  }

  /** Starts a load; returns its outcome if it ends at once. */
  Optional<OrderEnding> load(
      AdapterVersion version,
      FencingNumber fencing,
      boolean fails,
      long loadMillis,
      Consumer<OrderEnding> onOutcome) {
    Optional<OrderEnding> rejection = fence(fencing);
    if (rejection.isPresent()) {
      return rejection;
    }
    if (resident.contains(version)) {
      return Optional.of(new OrderEnding.Done(fencing));
    }
    if (resident.size() + loading.size() >= engine.adapterSlots() || !loading.add(version)) {
      return Optional.of(new OrderEnding.Failed("no free adapter slot"));
    }
    long startedIncarnation = start;
    time.after(
        loadMillis,
        () -> {
          if (startedIncarnation != start) {
            onOutcome.accept(new OrderEnding.Unanswered());
            return;
          }
          loading.remove(version);
          if (fails) {
            onOutcome.accept(new OrderEnding.Failed("load failed"));
          } else {
            resident.add(version);
            onOutcome.accept(new OrderEnding.Done(fencing));
          }
        });
    return Optional.empty();
  }

  OrderEnding unload(AdapterVersion version, FencingNumber fencing) {
    Optional<OrderEnding> rejection = fence(fencing);
    if (rejection.isPresent()) {
      return rejection.get();
    }
    if (running.containsValue(version)) {
      violation.accept(engine.id() + " unloads " + version + " while it is in use");
    }
    resident.remove(version);
    return new OrderEnding.Done(fencing);
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
  boolean end(RequestId request) {
    return running.remove(request) != null;
  }

  void restart() {
    start++;
    resident.clear();
    loading.clear();
    running.clear();
  }

  private Optional<OrderEnding> fence(FencingNumber fencing) {
    if (engine.fencing() == FencingTrait.IGNORED) {
      return Optional.empty();
    }
    if (highest.filter(seen -> fencing.compareTo(seen) < 0).isPresent()) {
      return Optional.of(new OrderEnding.Fenced(fencing, highest.get()));
    }
    highest = Optional.of(fencing);
    return Optional.empty();
  }
}
