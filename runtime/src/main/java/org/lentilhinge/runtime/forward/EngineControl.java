package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.permit.AdapterOrder;

/** Sends orders to engines and reads their reports. */
public interface EngineControl {

  /**
   * Sends an order.
   *
   * @param engine the engine
   * @param order the order
   * @param expectedOrders the number of orders that the engine is expected to have accepted
   * @param holder the name of this host
   * @param fence the fencing token
   * @return the result, {@link OrderReply#UNKNOWN} if no valid response is received; never fails
   */
  Future<OrderReply> order(
      FleetEndpoint engine, AdapterOrder order, long expectedOrders, String holder, long fence);

  /**
   * Reads the report of an engine.
   *
   * @param engine the engine
   * @return the report; fails if none was received
   */
  Future<EngineReport> report(FleetEndpoint engine);
}
