package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;
import java.util.function.BooleanSupplier;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.permit.AdapterOrder;

/** A control of engines for tests without engines. */
final class NoEngineControl implements EngineControl {

  @Override
  public Future<OrderResult> order(
      FleetEndpoint engine,
      AdapterOrder order,
      long expected,
      String owner,
      long token,
      BooleanSupplier mayBeSent) {
    return Future.failedFuture("no engine");
  }

  @Override
  public Future<EngineReport> report(FleetEndpoint engine) {
    return Future.failedFuture("no engine");
  }
}
