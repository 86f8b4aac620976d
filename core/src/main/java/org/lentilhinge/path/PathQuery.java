package org.lentilhinge.path;

import java.util.List;
import org.lentilhinge.message.PeerMessage;

/**
 * Asks another host which endpoints it reaches.
 *
 * @param incarnations the incarnations of endpoints that the asking host does not reach
 */
public record PathQuery(List<String> incarnations) implements PeerMessage {

  /**
   * Copies the list.
   *
   * @param incarnations the incarnations
   */
  public PathQuery {
    incarnations = List.copyOf(incarnations);
  }
}
