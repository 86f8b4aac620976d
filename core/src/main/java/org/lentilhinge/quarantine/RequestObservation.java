package org.lentilhinge.quarantine;

import java.util.List;

/**
 * What a host observed of a request, for the other hosts. Times are sent as ages, because hosts
 * have no common clock.
 *
 * @param kind what was observed
 * @param incarnation the incarnation of the engine, or an empty string for a quarantine
 * @param parts the ids of the prompt's shared parts, or the combination in quarantine
 * @param digest the digest of the whole request, or an empty string if only the parts are concerned
 * @param startAgeMillis the time since the request was sent to the engine, or since the first crash
 *     that led to the quarantine, in milliseconds
 * @param ageMillis the time since the observation, in milliseconds
 */
public record RequestObservation(
    Kind kind,
    String incarnation,
    List<String> parts,
    String digest,
    long startAgeMillis,
    long ageMillis) {

  /** The kinds of observations. */
  public enum Kind {
    /** The connection to the endpoint ended: with parts, before the response went on. */
    BROKEN,
    /** The endpoint responds: with parts, the response went on; with a digest, it is complete. */
    SURVIVED,
    /** Requests with all of these parts, or with this digest, are refused. */
    QUARANTINED,
    /** The crashes that led to the quarantine of this digest were none. */
    LIFTED
  }

  /**
   * Copies the parts.
   *
   * @param kind the kind
   * @param incarnation the incarnation of the engine
   * @param parts the parts
   * @param digest the digest
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
        kind, incarnation, parts, digest, startAgeMillis + millis, ageMillis + millis);
  }
}
