package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * The answer to a {@link PermitRequest}.
 *
 * @param permitId the id of the permit request
 * @param granted whether the request may be sent to the engine now
 * @param retryAfterMillis if not granted, the time after which a retry is worthwhile, in
 *     milliseconds
 * @param reason the reason, for the log
 */
public record PermitAnswer(long permitId, boolean granted, long retryAfterMillis, String reason)
    implements PeerMessage {

  /** The reason of a refusal because of the request limit that the endpoint states. */
  public static final String ENDPOINT_LIMIT = "endpoint-limit";

  /** The reason of a refusal because the endpoint leaves. */
  public static final String ENDPOINT_LEFT = "endpoint-left";

  /** The reason of the refusal of a waiting request in favor of another one. */
  public static final String DISPLACED = "displaced";

  /**
   * Returns whether the permit was refused because the endpoint leaves.
   *
   * @return whether no request may be sent to this incarnation again
   */
  public boolean isEndpointLeft() {
    return !granted && reason.equals(ENDPOINT_LEFT);
  }

  /**
   * Returns whether the permit was refused because of the request limit of the endpoint.
   *
   * @return whether no host can get a permit before the time for a retry
   */
  public boolean isLimited() {
    return !granted && reason.equals(ENDPOINT_LIMIT);
  }
}
