package org.lentilhinge.dispatch;

import java.util.Optional;
import org.lentilhinge.fleet.FleetEndpoint;

/**
 * A condition that must hold in the moment in which a request is sent, after each wait for a permit
 * or a connection.
 */
@FunctionalInterface
public interface SendCondition {

  /**
   * Checks whether a request may be sent.
   *
   * @param endpoint the endpoint, in the incarnation that was chosen
   * @param nowMillis the current time, in milliseconds
   * @return the obstacle, or empty if the condition holds
   */
  Optional<SendObstacle> check(FleetEndpoint endpoint, long nowMillis);
}
