package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.lentilhinge.permit.AdapterOrder;

/**
 * An engine's report of its own state, which is a few hundred milliseconds old.
 *
 * @param startedAtMillis the time of the engine's start by its own clock, in milliseconds, if the
 *     report states it
 * @param acceptedOrders the number of orders that the engine has accepted
 * @param models the base models that are loaded
 * @param adapters the versions of the adapters that are loaded, by name
 * @param loading the versions of the adapters that are being loaded, by name
 */
public record EngineReport(
    OptionalLong startedAtMillis,
    long acceptedOrders,
    List<String> models,
    Map<String, Long> adapters,
    Map<String, Long> loading) {

  /**
   * Indicates whether an order is complete.
   *
   * @param order an order for a model, or for an adapter of the engine's model
   * @return whether the model or adapter is loaded or unloaded as ordered
   */
  public boolean isDone(AdapterOrder order) {
    boolean loaded =
        order.adapter().isEmpty()
            ? models.contains(order.model())
            : adapters.getOrDefault(order.adapter(), -1L) >= order.version();
    return loaded == order.load();
  }
}
