package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.permit.AdapterOrder;

/** Calls of one host to the simulated engines. */
final class SimulatedEngineControl implements EngineControl {

  private static final long RESPONSE_TIMEOUT_MILLIS = 800;

  private final OwnershipSimulation simulation;
  private final SimulatedHost host;

  SimulatedEngineControl(OwnershipSimulation simulation, SimulatedHost host) {
    this.simulation = simulation;
    this.host = host;
  }

  @Override
  public Future<OrderResult> order(
      FleetEndpoint engine,
      AdapterOrder order,
      long expectedOrderCount,
      String owner,
      long fencingToken,
      BooleanSupplier mayBeSent) {
    Promise<OrderResult> promise = Promise.promise();
    host.execute(
        simulation.connectionMillis(),
        () -> {
          if (!mayBeSent.getAsBoolean()) {
            promise.tryComplete(OrderResult.NOT_SENT);
            return;
          }
          host.execute(RESPONSE_TIMEOUT_MILLIS, () -> promise.tryComplete(OrderResult.UNKNOWN));
          simulation
              .network()
              .transfer(
                  host.name(),
                  engine.id(),
                  () ->
                      simulation
                          .arrive(host, engine, order, expectedOrderCount, fencingToken)
                          .ifPresent(result -> respond(engine, () -> promise.tryComplete(result))));
        });
    return promise.future();
  }

  private void respond(FleetEndpoint engine, Runnable task) {
    simulation.network().transfer(engine.id(), host.name(), () -> host.run(task));
  }

  @Override
  public Future<EngineReport> report(FleetEndpoint engine) {
    Promise<EngineReport> promise = Promise.promise();
    host.execute(
        RESPONSE_TIMEOUT_MILLIS, () -> promise.tryFail(new IOException("no valid report")));
    simulation
        .network()
        .transfer(
            host.name(),
            engine.id(),
            () ->
                simulation
                    .report(engine.id())
                    .ifPresent(report -> respond(engine, () -> promise.tryComplete(report))));
    return promise.future();
  }
}
