package org.lentilhinge.runtime.gateway;

import java.util.OptionalLong;

/** Thrown when no endpoint can be assigned to an attempt. Nothing was run for the attempt. */
public final class AssignmentException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String reason;
  private final long retryAfterMillis;

  /**
   * Creates an exception without a retry time.
   *
   * @param reason why no endpoint can be assigned
   */
  public AssignmentException(String reason) {
    this(reason, -1);
  }

  /**
   * Creates an exception.
   *
   * @param reason why no endpoint can be assigned
   * @param retryAfterMillis the time after which a retry may succeed, in milliseconds
   */
  public AssignmentException(String reason, long retryAfterMillis) {
    super(reason);
    this.reason = reason;
    this.retryAfterMillis = retryAfterMillis;
  }

  /**
   * Returns why no endpoint can be assigned.
   *
   * @return the reason
   */
  public String reason() {
    return reason;
  }

  /**
   * Returns the time after which a retry may succeed.
   *
   * @return the time in milliseconds, or empty if unknown
   */
  public OptionalLong retryAfterMillis() {
    return retryAfterMillis < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
  }
}
