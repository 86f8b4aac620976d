package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;
import java.util.function.BooleanSupplier;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.permit.AdapterOrder;

/** Sends orders to engines and reads their reports. */
public interface EngineControl {

  /**
   * Sends an order.
   *
   * @param engine the engine
   * @param order the order
   * @param expectedOrderCount the number of orders that the engine is expected to have accepted
   * @param owner the name of this host
   * @param fencingToken the fencing token
   * @param mayBeSent is asked again before the first byte is sent, as a connection may have to be
   *     opened first
   * @return the result, {@link OrderResult#NOT_SENT} if the order may not be sent any more, or
   *     {@link OrderResult#UNKNOWN} if no valid response is received; the future never fails
   */
  Future<OrderResult> order(
      FleetEndpoint engine,
      AdapterOrder order,
      long expectedOrderCount,
      String owner,
      long fencingToken,
      BooleanSupplier mayBeSent);

  /**
   * Reads the report of an engine.
   *
   * @param engine the engine
   * @return the report; fails if no valid report is received
   */
  Future<EngineReport> report(FleetEndpoint engine);
}
