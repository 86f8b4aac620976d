package org.lentilhinge.lease;

import java.util.List;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * A reply to a {@link LeaseRequest}.
 *
 * @param grantor the host that replies
 * @param sequence the sequence number of the request
 * @param status the outcome of the request
 * @param refusals the endpoints for which the grantor has voted for another host; with {@link
 *     LeaseStatus#GRANTED}, the rest of the set is granted
 * @param lists the grantor's lists if the request did not name all of them, otherwise empty
 */
public record LeaseReply(
    HostIncarnation grantor,
    long sequence,
    LeaseStatus status,
    List<LeaseRefusal> refusals,
    List<VoterList> lists)
    implements PeerMessage {

  /**
   * Copies the lists.
   *
   * @param grantor the host that replies
   * @param sequence the sequence number
   * @param status the status
   * @param refusals the refusals
   * @param lists the lists
   */
  public LeaseReply {
    refusals = List.copyOf(refusals);
    lists = List.copyOf(lists);
  }
}
