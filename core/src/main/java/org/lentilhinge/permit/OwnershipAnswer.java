package org.lentilhinge.permit;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.overlay.KnownHost;

/**
 * The answer to an {@link OwnershipQuery}, which takes the way of the query back.
 *
 * @param asker the host that asked
 * @param answerer the host that was asked
 * @param incarnation the incarnation of the engine
 * @param round the number of the round of queries
 * @param objection why the asker may not own the engine; empty if it may
 * @param highestToken the highest fencing token that the answerer knows for the engine; 0 if none
 * @param hosts the live hosts that the answerer knows if they differ from those of the asker
 */
public record OwnershipAnswer(
    String asker,
    String answerer,
    String incarnation,
    long round,
    Optional<OwnershipObjection> objection,
    long highestToken,
    List<KnownHost> hosts)
    implements PeerMessage {

  /**
   * Copies the list.
   *
   * @param asker the host that asked
   * @param answerer the host that was asked
   * @param incarnation the incarnation
   * @param round the round
   * @param objection the objection
   * @param highestToken the highest token
   * @param hosts the hosts
   */
  public OwnershipAnswer {
    hosts = List.copyOf(hosts);
  }
}
