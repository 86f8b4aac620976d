package org.lentilhinge.follow;

import java.util.List;
import org.lentilhinge.message.PeerMessage;

/**
 * A request to a peer for parts. The peer responds with one {@link PartResponse} per part.
 *
 * @param digests the digests of the parts
 */
public record PartsRequest(List<PartDigest> digests) implements PeerMessage {

  /**
   * Creates a request with a copy of the digests.
   *
   * @param digests the digests of the parts
   */
  public PartsRequest {
    digests = List.copyOf(digests);
  }
}
