package org.lentilhinge.emulator.load;

import org.lentilhinge.configuration.Deduplication;
import org.lentilhinge.runtime.gateway.GatewaySettings;

/**
 * The size and limits of a {@link LoopbackHost}.
 *
 * @param engines the number of engines
 * @param batchSlots the number of requests that each engine runs at the same time
 * @param callerConcurrency the maximum number of concurrent requests of a caller
 * @param deduplication how the plain service handles a repeated idempotency key
 * @param gateway the gateway's limits
 */
public record LoopbackSettings(
    int engines,
    int batchSlots,
    int callerConcurrency,
    Deduplication deduplication,
    GatewaySettings gateway) {

  /** One engine, a service without deduplication and the gateway's default limits. */
  public static final LoopbackSettings DEFAULT =
      new LoopbackSettings(1, 64, 256, Deduplication.NONE, GatewaySettings.of("127.0.0.1", 0));

  /**
   * Returns a copy with another batch size of the engines.
   *
   * @param slots the number of requests that each engine runs at the same time
   * @return the changed settings
   */
  public LoopbackSettings withBatchSlots(int slots) {
    return new LoopbackSettings(engines, slots, callerConcurrency, deduplication, gateway);
  }
}
