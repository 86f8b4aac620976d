package org.lentilhinge.quarantine;

import java.util.List;

/**
 * A run of a request at an endpoint, with the properties by which the quarantine recognizes
 * requests.
 *
 * @param incarnation the incarnation of the endpoint
 * @param parts the ids of the prompt's shared parts; empty if the observation says nothing of them
 * @param digest the digest of the whole request; an empty string if the observation says nothing of
 *     it
 * @param startedAtMillis the time at which the request was sent, in milliseconds
 */
public record RequestRun(
    String incarnation, List<String> parts, String digest, long startedAtMillis) {

  private static final int MAXIMUM_PARTS = 16;

  /**
   * Copies the parts, as far as they are recorded.
   *
   * @param incarnation the incarnation of the endpoint
   * @param parts the parts
   * @param digest the digest
   * @param startedAtMillis the time at which the request was sent, in milliseconds
   */
  public RequestRun {
    parts = List.copyOf(parts.subList(0, Math.min(parts.size(), MAXIMUM_PARTS)));
  }

  boolean isAnonymous() {
    return parts.isEmpty() && digest.isEmpty();
  }
}
