package org.lentilhinge.overlay;

import java.util.List;
import org.lentilhinge.message.PeerMessage;

/**
 * All live records that the sender knows.
 *
 * @param records the records, the sender's included
 * @param answerRequested whether the receiver sends its own table in return if it knows more
 */
public record HostTable(List<HostRecord> records, boolean answerRequested) implements PeerMessage {

  /**
   * Copies the records.
   *
   * @param records the records
   * @param answerRequested whether an answer is requested
   */
  public HostTable {
    records = List.copyOf(records);
  }
}
