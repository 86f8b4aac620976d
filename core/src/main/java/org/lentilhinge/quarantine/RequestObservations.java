package org.lentilhinge.quarantine;

import java.util.List;
import org.lentilhinge.message.RelayedMessage;

/**
 * Observations of one host on their way to all hosts.
 *
 * @param host the host that made them
 * @param relayed whether the receiver passes them on to the other hosts of its zone
 * @param observations the observations
 */
public record RequestObservations(
    String host, boolean relayed, List<RequestObservation> observations) implements RelayedMessage {

  /**
   * Copies the list.
   *
   * @param host the host that made the observations
   * @param relayed whether the receiver passes them on
   * @param observations the observations
   */
  public RequestObservations {
    observations = List.copyOf(observations);
  }

  @Override
  public RequestObservations withRelayed(boolean relays) {
    return new RequestObservations(host, relays, observations);
  }
}
