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
import org.lentilhinge.host.OrderOutcome;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
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
  private static final long MAXIMUM_REPORT_LAG_MILLIS = 1_000;

  private final HostEventLoop loop;
  private final EngineClient engines;
  private final Supplier<Configuration> configuration;
  private final DecisionLog decisions;
  private final Set<EndpointId> pendingReports = new HashSet<>();

  EngineOrderRunner(
      HostEventLoop loop,
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
    sendOrder(order.endpoint(), order.version(), order.fencing(), true);
  }

  void unload(HostCommand.OrderUnload order) {
    log(DecisionKind.EVICT, order.endpoint(), order.version(), order.reason());
    sendOrder(order.endpoint(), order.version(), order.fencing(), false);
  }

  /** Requests the report of an engine, unless a request for it is pending. */
  void requestReport(EndpointId endpoint) {
    Optional<Engine> engine = configuration.get().engine(endpoint);
    if (engine.isEmpty() || !pendingReports.add(endpoint)) {
      return;
    }
    long sentAtMillis = loop.nowMillis();
    Disposable unused =
        engines
            .report(endpoint, engine.get().address())
            .subscribe(
                report -> loop.run(() -> onReport(report, sentAtMillis)),
                error -> loop.run(() -> pendingReports.remove(endpoint)));
  }

  private void onReport(EngineReport report, long sentAtMillis) {
    pendingReports.remove(report.endpoint());
    EngineState state =
        new EngineState(
            report.endpoint(),
            RendezvousHash.hash(report.incarnation()),
            report.highestFencingToken(),
            Set.copyOf(report.resident()),
            Set.of(),
            report.running(),
            report.waiting(),
            false,
            sentAtMillis - MAXIMUM_REPORT_LAG_MILLIS);
    loop.process(new HostEvent.EngineReported(state));
  }

  private void sendOrder(
      EndpointId endpoint, AdapterVersion version, FencingToken fencing, boolean load) {
    Optional<Engine> engine = configuration.get().engine(endpoint);
    if (engine.isEmpty()) {
      onOrderEnded(endpoint, version, load, new OrderOutcome.Dropped());
      return;
    }
    EngineOrder order = new EngineOrder(endpoint, engine.get().address(), version, fencing);
    Completable sent =
        load
            ? engines.load(order, () -> mayOrder(endpoint))
            : engines.unload(order, () -> mayOrder(endpoint));
    Disposable unused =
        sent.subscribe(
            () -> onOrderEnded(endpoint, version, load, new OrderOutcome.Done(fencing)),
            error -> onOrderEnded(endpoint, version, load, outcomeOf(error, fencing)));
  }

  private boolean mayOrder(EndpointId endpoint) {
    return loop.host().mayOrder(endpoint, loop.nowMillis());
  }

  private void onOrderEnded(
      EndpointId endpoint, AdapterVersion version, boolean load, OrderOutcome outcome) {
    loop.post(new HostEvent.OrderEnded(endpoint, version, load, outcome));
  }

  private static OrderOutcome outcomeOf(Throwable error, FencingToken fencing) {
    if (!(error instanceof EngineException)) {
      return new OrderOutcome.Unanswered();
    }
    EngineException engineException = (EngineException) error;
    if (engineException.highestFencingToken().isPresent()) {
      return new OrderOutcome.Fenced(fencing, engineException.highestFencingToken().get());
    }
    if (engineException.failure() == EngineFailure.WITHHELD
        || engineException.failure() == EngineFailure.UNREACHABLE) {
      return new OrderOutcome.Dropped();
    }
    if (engineException.failure() == EngineFailure.SILENT
        || engineException.failure() == EngineFailure.BROKEN) {
      return new OrderOutcome.Unanswered();
    }
    return new OrderOutcome.Failed(String.valueOf(engineException.getMessage()));
  }

  private void log(
      DecisionKind kind, EndpointId endpoint, AdapterVersion version, PlacementReason reason) {
    String label = reason.name().toLowerCase(Locale.ROOT);
    decisions.write(Decision.of(kind, label).withAdapter(version).withEndpoint(endpoint));
  }
}
