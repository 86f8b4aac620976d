package org.lentilhinge.dispatch;

/** The reasons for which a request must not be sent to an endpoint now. */
public enum SendObstacle {
  /** The endpoint leaves, has gone or was restarted. */
  LEFT("endpoint-left"),
  /** The endpoint asked this host to send nothing for a while. */
  PAUSED("endpoint-paused"),
  /** This host has no path to any endpoint. */
  NO_PATH("no-path"),
  /** The endpoint runs another version of the software than the stream has begun on. */
  OTHER_VERSION("other-version"),
  /** The endpoint has not read the bodies of former requests of this host. */
  BODIES_UNREAD("endpoint-bodies");

  private final String reason;

  SendObstacle(String reason) {
    this.reason = reason;
  }

  /**
   * Returns the name of the obstacle in log lines and in responses to callers.
   *
   * @return the name
   */
  public String reason() {
    return reason;
  }
}
