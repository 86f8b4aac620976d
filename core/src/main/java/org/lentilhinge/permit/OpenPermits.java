package org.lentilhinge.permit;

import java.util.List;
import org.lentilhinge.message.PeerMessage;

/**
 * States which permits a host awaits or holds from the receiver, so that permits whose return was
 * lost are recovered. All other permits up to the stated id have been returned.
 *
 * @param lastPermitId the highest id that the statement covers; requests with higher ids may have
 *     been sent later
 * @param permitIds the ids of the permit requests that are unanswered, and of those with a permit
 */
public record OpenPermits(long lastPermitId, List<Long> permitIds) implements PeerMessage {

  /**
   * Copies the list.
   *
   * @param lastPermitId the highest id that the statement covers
   * @param permitIds the ids
   */
  public OpenPermits {
    permitIds = List.copyOf(permitIds);
  }

  /** Indicates whether a permit, or a request for one, has ended at its host. */
  boolean excludes(long permitId) {
    return permitId <= lastPermitId && !permitIds.contains(permitId);
  }
}
