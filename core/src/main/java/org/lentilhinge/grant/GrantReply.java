package org.lentilhinge.grant;

import java.util.List;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * A reply to a {@link GrantRequest} for all or some of its versions.
 *
 * @param owner the host that replies
 * @param sequence the sequence number of the request
 * @param answers the answers, one for each version
 */
public record GrantReply(HostIncarnation owner, long sequence, List<GrantAnswer> answers)
    implements PeerMessage {

  /**
   * Copies the list.
   *
   * @param owner the host that replies
   * @param sequence the sequence number
   * @param answers the answers
   */
  public GrantReply {
    answers = List.copyOf(answers);
  }
}
