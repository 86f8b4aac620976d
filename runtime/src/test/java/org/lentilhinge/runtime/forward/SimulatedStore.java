package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.lentilhinge.forward.EngineCapacity;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.published.DeclaredState;
import org.lentilhinge.published.EndpointListing;

/** A store whose revision rises with each heartbeat of an engine, and which may be slow. */
final class SimulatedStore {

  static final String NAME = "store";

  private static final long READ_TIMEOUT_MILLIS = 2_500;
  private static final long WRITE_INTERVAL_MILLIS = 50;
  private static final int HEARTBEAT_MILLIS = 1_200;

  private final OwnershipSimulation simulation;
  private final Collection<SimulatedEngine> engines;
  private final Random random;
  private long revision = 1_000;
  private long slowUntilMillis;
  private long slowMillis;

  SimulatedStore(
      OwnershipSimulation simulation, Collection<SimulatedEngine> engines, Random random) {
    this.simulation = simulation;
    this.engines = engines;
    this.random = random;
    simulation.schedule(0, this::recordOtherWrites);
  }

  /** Raises the revision, as all other writers of a deployment do. */
  private void recordOtherWrites() {
    revision += 1 + random.nextInt(3);
    simulation.schedule(WRITE_INTERVAL_MILLIS, this::recordOtherWrites);
  }

  /** Starts the heartbeats of an engine. */
  void register(SimulatedEngine engine) {
    simulation.schedule(random.nextInt(HEARTBEAT_MILLIS), () -> recordHeartbeat(engine));
  }

  private void recordHeartbeat(SimulatedEngine engine) {
    revision++;
    simulation.schedule(HEARTBEAT_MILLIS, () -> recordHeartbeat(engine));
  }

  /** Has responses arrive late by about a time; what they contain is from before. */
  void slow(long lateMillis, long millis) {
    slowMillis = lateMillis;
    slowUntilMillis = simulation.now() + millis;
  }

  private long lateMillis() {
    return simulation.now() < slowUntilMillis ? slowMillis - random.nextInt(200) : 0;
  }

  private EndpointListing listing() {
    StoreRevision current = new StoreRevision(0, revision);
    return new EndpointListing(
        engines.stream().map(engine -> engine.entry(current)).toList(), current);
  }

  private DeclaredState declared(boolean complete) {
    ForwardService service =
        new ForwardService(
            OwnershipSimulation.SERVICE,
            100,
            Optional.of(new EngineCapacity(64, 100_000, 6, List.of(SimulatedEngine.MODEL))));
    ForwardConfiguration configuration =
        new ForwardConfiguration(
            new DeclaredVersion(1, new StoreRevision(0, 1)),
            List.of(),
            Map.of(OwnershipSimulation.SERVICE, service),
            ForwardLimits.DEFAULT);
    return new DeclaredState(
        complete ? Optional.of(configuration) : Optional.empty(),
        List.of(),
        new StoreRevision(0, revision));
  }

  /** The calls of one host. */
  static final class Client implements PublishedStore {
    private final OwnershipSimulation simulation;
    private final SimulatedHost host;

    Client(OwnershipSimulation simulation, SimulatedHost host) {
      this.simulation = simulation;
      this.host = host;
    }

    @Override
    public Future<EndpointListing> listEndpoints() {
      Promise<EndpointListing> promise = begin(0);
      ask(0, () -> complete(promise, simulation.store().listing()));
      return promise.future();
    }

    @Override
    public Future<DeclaredState> readDeclaredState() {
      Promise<DeclaredState> promise = begin(0);
      ask(0, () -> complete(promise, simulation.store().declared(true)));
      return promise.future();
    }

    @Override
    public Future<DeclaredState> awaitDeclaredState(StoreRevision revision, long waitMillis) {
      Promise<DeclaredState> promise = begin(waitMillis);
      ask(waitMillis, () -> complete(promise, simulation.store().declared(false)));
      return promise.future();
    }

    private <T> Promise<T> begin(long waitMillis) {
      Promise<T> promise = Promise.promise();
      host.execute(
          waitMillis + READ_TIMEOUT_MILLIS, () -> promise.tryFail(new IOException("timed out")));
      return promise;
    }

    private void ask(long waitMillis, Runnable task) {
      simulation.network().transfer(host.name(), NAME, () -> simulation.schedule(waitMillis, task));
    }

    private <T> void complete(Promise<T> promise, T result) {
      simulation.schedule(
          simulation.store().lateMillis(),
          () ->
              simulation
                  .network()
                  .transfer(NAME, host.name(), () -> host.run(() -> promise.tryComplete(result))));
    }
  }
}
