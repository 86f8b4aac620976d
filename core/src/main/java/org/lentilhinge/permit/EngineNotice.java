package org.lentilhinge.permit;

import java.util.List;
import org.lentilhinge.message.PeerMessage;

/**
 * Tells all hosts how an engine stands, from the host that holds it.
 *
 * @param life the life of the engine
 * @param holding whether the sender may order the engine now
 * @param adapters the names of the adapters that are there or coming
 * @param backlogMillis the time for which the engine is busy reading the prompts that it has
 * @param freeSlots the adapter slots that are free or whose adapter nobody uses
 * @param waiting the requests that wait for a slot
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
   * @param life the engine
   * @param holding whether the sender may order it
   * @param adapters the adapters
   * @param backlogMillis the backlog
   * @param freeSlots the free slots
   * @param waiting the waiting requests
   */
  public EngineNotice {
    adapters = List.copyOf(adapters);
  }
}
