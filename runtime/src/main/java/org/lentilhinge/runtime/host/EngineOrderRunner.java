package org.lentilhinge.runtime.host;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.host.EngineState;
import org.lentilhinge.host.HostCommand;
import org.lentilhinge.host.HostEvent;
import org.lentilhinge.host.OrderEnding;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingNumber;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.placement.PlacementReason;
import org.lentilhinge.runtime.decision.Decision;
import org.lentilhinge.runtime.decision.DecisionKind;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.engine.EngineClient;
import org.lentilhinge.runtime.engine.EngineException;
import org.lentilhinge.runtime.engine.EngineFailure;
import org.lentilhinge.runtime.engine.EngineOrder;
import org.lentilhinge.runtime.engine.EngineReport;

/** Sends the load and unload orders of this host to engines, and reads the engines' reports. */
final class EngineOrderRunner {

  /** The maximum time by which a report may lag behind the state of the engine, in milliseconds. */
  private static final long REPORT_LAG_MILLIS = 1_000;

  private final HostLoop loop;
  private final EngineClient engines;
  private final Supplier<Configuration> configuration;
  private final DecisionLog decisions;
  private final Set<EndpointId> reading = new HashSet<>();

  EngineOrderRunner(
      HostLoop loop,
      EngineClient engines,
      Supplier<Configuration> configuration,
      DecisionLog decisions) {
    this.loop = loop;
    this.engines = engines;
    this.configuration = configuration;
    this.decisions = decisions;
  }

  void load(HostCommand.OrderLoad order) {
    log(DecisionKind.LOAD, order.endpoint(), order.version(), order.reason());
    order(order.endpoint(), order.version(), order.fencing(), true);
  }

  void unload(HostCommand.OrderUnload order) {
    log(DecisionKind.EVICT, order.endpoint(), order.version(), order.reason());
    order(order.endpoint(), order.version(), order.fencing(), false);
  }

  /** Requests the report of an engine, unless a request for it is pending. */
  void read(EndpointId endpoint) {
    Optional<Engine> engine = configuration.get().engine(endpoint);
    if (engine.isEmpty() || !reading.add(endpoint)) {
      return;
    }
    long sentMillis = loop.nowMillis();
    Disposable unused =
        engines
            .report(endpoint, engine.get().address())
            .subscribe(
                report -> loop.run(() -> reported(report, sentMillis)),
                error -> loop.run(() -> reading.remove(endpoint)));
  }

  private void reported(EngineReport report, long sentMillis) {
    reading.remove(report.endpoint());
    EngineState state =
        new EngineState(
            report.endpoint(),
            RendezvousHash.hash(report.incarnation()),
            report.highestFencing(),
            Set.copyOf(report.resident()),
            Set.of(),
            report.running(),
            report.waiting(),
            false,
            sentMillis - REPORT_LAG_MILLIS);
    loop.take(new HostEvent.EngineReported(state));
  }

  private void order(
      EndpointId endpoint, AdapterVersion version, FencingNumber fencing, boolean load) {
    Optional<Engine> engine = configuration.get().engine(endpoint);
    if (engine.isEmpty()) {
      ended(endpoint, version, load, new OrderEnding.Dropped());
      return;
    }
    EngineOrder order = new EngineOrder(endpoint, engine.get().address(), version, fencing);
    Completable sent =
        load
            ? engines.load(order, () -> mayOrder(endpoint))
            : engines.unload(order, () -> mayOrder(endpoint));
    Disposable unused =
        sent.subscribe(
            () -> ended(endpoint, version, load, new OrderEnding.Done(fencing)),
            error -> ended(endpoint, version, load, endingOf(error, fencing)));
  }

  private boolean mayOrder(EndpointId endpoint) {
    return loop.host().mayOrder(endpoint, loop.nowMillis());
  }

  private void ended(
      EndpointId endpoint, AdapterVersion version, boolean load, OrderEnding outcome) {
    loop.post(new HostEvent.OrderEnded(endpoint, version, load, outcome));
  }

  private static OrderEnding endingOf(Throwable error, FencingNumber fencing) {
    if (!(error instanceof EngineException)) {
      return new OrderEnding.Unanswered();
    }
    EngineException failure = (EngineException) error;
    if (failure.highestFencing().isPresent()) {
      return new OrderEnding.Fenced(fencing, failure.highestFencing().get());
    }
    if (failure.failure() == EngineFailure.WITHHELD
        || failure.failure() == EngineFailure.UNREACHABLE) {
      return new OrderEnding.Dropped();
    }
    if (failure.failure() == EngineFailure.SILENT || failure.failure() == EngineFailure.BROKEN) {
      return new OrderEnding.Unanswered();
    }
    return new OrderEnding.Failed(String.valueOf(failure.getMessage()));
  }

  private void log(
      DecisionKind kind, EndpointId endpoint, AdapterVersion version, PlacementReason reason) {
    String label = reason.name().toLowerCase(Locale.ROOT);
    decisions.write(Decision.of(kind, label).withAdapter(version).withEndpoint(endpoint));
  }
}
