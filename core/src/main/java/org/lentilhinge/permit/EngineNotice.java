package org.lentilhinge.permit;

import java.util.List;
import org.lentilhinge.message.PeerMessage;

/**
 * The status of an engine, which its owner sends to all hosts.
 *
 * @param life the incarnation of the engine
 * @param holding whether the sender may order the engine now
 * @param adapters the names of the adapters that are resident or loading
 * @param backlogMillis the prefill time of the prompts at the engine and in its queue, in
 *     milliseconds
 * @param freeSlots the number of adapter slots that are free or hold an idle adapter
 * @param waiting the number of adapters whose requests wait for a slot
 */
public record EngineNotice(
    String life,
    boolean holding,
    List<String> adapters,
    long backlogMillis,
    int freeSlots,
    int waiting)
    implements PeerMessage {

  /**
   * Copies the adapters.
   *
   * @param life the incarnation of the engine
   * @param holding whether the sender may order the engine
   * @param adapters the adapters
   * @param backlogMillis the prefill time, in milliseconds
   * @param freeSlots the number of available slots
   * @param waiting the number of waiting adapters
   */
  public EngineNotice {
    adapters = List.copyOf(adapters);
  }
}
