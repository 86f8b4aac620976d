package org.lentilhinge.forward;

import java.util.List;

/**
 * The declared capacity of each engine of a service.
 *
 * @param batchSlots the maximum number of requests that run at once
 * @param memoryTokens the number of tokens of running requests that fit into the engine's memory
 * @param adapterSlots the maximum number of adapters that are loaded or loading
 * @param models the base models that the engine can be ordered to load
 */
public record EngineCapacity(
    int batchSlots, int memoryTokens, int adapterSlots, List<String> models) {

  /**
   * Copies the models.
   *
   * @param batchSlots the maximum number of running requests
   * @param memoryTokens the number of tokens
   * @param adapterSlots the maximum number of adapters
   * @param models the models
   */
  public EngineCapacity {
    models = List.copyOf(models);
  }
}
