package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.permit.AdapterOrder;

/** Orders engines and asks them how they stand. */
public interface EngineControl {

  /**
   * Sends an order.
   *
   * @param engine the engine
   * @param order the order
   * @param expectedOrders the number of orders that the engine is expected to have accepted
   * @param holder the name of this host
   * @param fence the fencing number
   * @return the engine's answer; never fails
   */
  Future<OrderReply> order(
      FleetEndpoint engine, AdapterOrder order, long expectedOrders, String holder, long fence);

  /**
   * Asks an engine how it stands.
   *
   * @param engine the engine
   * @return its report; fails if none came
   */
  Future<EngineReport> report(FleetEndpoint engine);
}
