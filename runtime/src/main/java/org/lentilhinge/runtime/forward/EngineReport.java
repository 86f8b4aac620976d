package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Map;
import org.lentilhinge.permit.AdapterOrder;

/**
 * What an engine says of itself, some hundred milliseconds old.
 *
 * @param orders the number of orders that it has accepted
 * @param models the base models that it holds
 * @param adapters the versions of the adapters that it holds, by name
 * @param coming the versions of the adapters that are on their way, by name
 */
public record EngineReport(
    long orders, List<String> models, Map<String, Long> adapters, Map<String, Long> coming) {

  /**
   * Tells whether an order is done.
   *
   * @param order an order of a model, or of an adapter of the engine's model
   * @return whether what it names is there or gone, as ordered
   */
  public boolean shows(AdapterOrder order) {
    boolean there =
        order.adapter().isEmpty()
            ? models.contains(order.model())
            : adapters.getOrDefault(order.adapter(), -1L) >= order.version();
    return there == order.load();
  }
}
