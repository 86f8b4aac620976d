package org.lentilhinge.permit;

/**
 * Why a host may not own an engine at the moment.
 *
 * @param reason the reason, a single word for the log
 * @param host the host that may own the engine instead; empty if none is known
 * @param waitMillis the time after which the objection may have ended, in milliseconds
 */
public record OwnershipObjection(String reason, String host, long waitMillis) {

  /** The reason of the host that owns the engine. */
  public static final String OWNED = "owned";
}
