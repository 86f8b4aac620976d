package org.lentilhinge.quarantine;

import java.util.List;

/**
 * What a host observed of a prompt, for the other hosts. Times are sent as ages, because hosts have
 * no common clock.
 *
 * @param kind what was observed
 * @param incarnation the incarnation of the engine, or an empty string for a quarantine
 * @param parts the ids of the prompt's shared parts, or the combination in quarantine
 * @param startAgeMillis the time since the request was sent to the engine, or since the first crash
 *     that led to the quarantine, in milliseconds
 * @param ageMillis the time since the observation, in milliseconds
 */
public record RequestObservation(
    Kind kind, String incarnation, List<String> parts, long startAgeMillis, long ageMillis) {

  /** The kinds of observations. */
  public enum Kind {
    /** The connection to the engine ended before the response began. */
    BROKEN,
    /** The engine began the response and went on. */
    SURVIVED,
    /** Requests with all of these parts are refused. */
    QUARANTINED
  }

  /**
   * Copies the parts.
   *
   * @param kind the kind
   * @param incarnation the incarnation of the engine
   * @param parts the parts
   * @param startAgeMillis the time since the request was sent, in milliseconds
   * @param ageMillis the time since the observation, in milliseconds
   */
  public RequestObservation {
    parts = List.copyOf(parts);
  }

  /**
   * Returns the observation as it is to be sent some time later.
   *
   * @param millis the time for which the observation was held back, in milliseconds
   * @return the same observation with increased ages
   */
  public RequestObservation delayed(long millis) {
    return new RequestObservation(
        kind, incarnation, parts, startAgeMillis + millis, ageMillis + millis);
  }
}
