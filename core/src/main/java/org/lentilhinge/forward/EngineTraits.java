package org.lentilhinge.forward;

import java.util.List;

/**
 * Declares what each engine of a service can hold.
 *
 * @param batchSlots the number of requests that run at once
 * @param memoryTokens the tokens of running requests that fit its memory
 * @param adapterSlots the number of adapters that it can hold or load at once
 * @param models the base models that it may be ordered to load
 */
public record EngineTraits(
    int batchSlots, int memoryTokens, int adapterSlots, List<String> models) {

  /**
   * Copies the models.
   *
   * @param batchSlots the number of requests
   * @param memoryTokens the tokens
   * @param adapterSlots the number of adapters
   * @param models the models
   */
  public EngineTraits {
    models = List.copyOf(models);
  }
}
