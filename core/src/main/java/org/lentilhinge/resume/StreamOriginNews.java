package org.lentilhinge.resume;

import java.util.List;
import org.lentilhinge.message.PeerMessage;

/**
 * Origins of streams, for a host that keeps a copy of them.
 *
 * @param origins the origins
 */
public record StreamOriginNews(List<StreamOrigin> origins) implements PeerMessage {

  /**
   * Copies the list.
   *
   * @param origins the origins
   */
  public StreamOriginNews {
    origins = List.copyOf(origins);
  }
}
