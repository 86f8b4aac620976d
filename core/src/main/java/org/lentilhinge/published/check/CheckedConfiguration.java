package org.lentilhinge.published.check;

import java.util.List;
import java.util.Map;
import org.lentilhinge.forward.ForwardConfiguration;

/**
 * A configuration to check, with what hosts do not keep of its published form.
 *
 * @param configuration the configuration as hosts apply it
 * @param serviceNames the names of all services in the order of their declaration, with repetitions
 * @param gapTargetMillis the target times between two events of a stream by the index of the route,
 *     in milliseconds
 */
public record CheckedConfiguration(
    ForwardConfiguration configuration,
    List<String> serviceNames,
    Map<Integer, Long> gapTargetMillis) {

  /**
   * Copies the collections.
   *
   * @param configuration the configuration
   * @param serviceNames the names
   * @param gapTargetMillis the target times
   */
  public CheckedConfiguration {
    serviceNames = List.copyOf(serviceNames);
    gapTargetMillis = Map.copyOf(gapTargetMillis);
  }
}
