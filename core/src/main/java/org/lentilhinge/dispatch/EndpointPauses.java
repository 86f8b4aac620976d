package org.lentilhinge.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.lease.RendezvousHash;

/**
 * The pauses for which endpoints have asked this host, each for one incarnation. A pause binds no
 * other host.
 */
public final class EndpointPauses implements SendCondition {

  /** The longest pause that an endpoint can ask for, in milliseconds. */
  public static final long MAXIMUM_PAUSE_MILLIS = 60_000;

  /**
   * The longest delay after the end of a pause, in milliseconds. Hosts that were refused in the
   * same moment do not return in the same moment.
   */
  private static final long MAXIMUM_RETURN_DELAY_MILLIS = 200;

  private final Map<String, Long> endsAtMillis = new HashMap<>();
  private final String host;

  /**
   * Creates pauses of no endpoint.
   *
   * @param host the name of this host, which spreads the returns of many hosts
   */
  public EndpointPauses(String host) {
    this.host = host;
  }

  /**
   * Records a refusal that asks for a pause. A shorter one does not end an earlier pause.
   *
   * @param incarnation the incarnation of the endpoint
   * @param pauseMillis the length of the pause, in milliseconds; one that is longer than {@link
   *     #MAXIMUM_PAUSE_MILLIS} is cut
   * @param nowMillis the current time, in milliseconds
   * @return whether the endpoint was not paused before
   */
  public boolean record(String incarnation, long pauseMillis, long nowMillis) {
    if (pauseMillis <= 0) {
      return false;
    }
    boolean first = remainingMillis(incarnation, nowMillis) == 0;
    long delayMillis =
        Long.remainderUnsigned(
            RendezvousHash.weight(incarnation, host), MAXIMUM_RETURN_DELAY_MILLIS);
    long endMillis = nowMillis + Math.min(pauseMillis, MAXIMUM_PAUSE_MILLIS) + delayMillis;
    endsAtMillis.merge(incarnation, endMillis, Math::max);
    return first;
  }

  /**
   * Returns the time left of a pause.
   *
   * @param incarnation the incarnation of the endpoint
   * @param nowMillis the current time, in milliseconds
   * @return the time, in milliseconds; 0 if the endpoint is not paused
   */
  public long remainingMillis(String incarnation, long nowMillis) {
    return Math.max(0, endsAtMillis.getOrDefault(incarnation, nowMillis) - nowMillis);
  }

  @Override
  public Optional<SendObstacle> check(FleetEndpoint endpoint, long nowMillis) {
    return remainingMillis(endpoint.incarnation(), nowMillis) > 0
        ? Optional.of(SendObstacle.PAUSED)
        : Optional.empty();
  }

  /**
   * Removes an endpoint.
   *
   * @param incarnation the incarnation that has ended
   */
  public void remove(String incarnation) {
    endsAtMillis.remove(incarnation);
  }
}
