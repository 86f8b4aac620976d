package org.lentilhinge.runtime.platform;

/** Signals that a service of the platform did not respond or responded unexpectedly. */
public final class PlatformException extends Exception {

  /**
   * Creates an exception.
   *
   * @param message the service, its address and the failure
   */
  public PlatformException(String message) {
    super(message);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param message the service and its address
   * @param cause the failure
   */
  public PlatformException(String message, Throwable cause) {
    super(message, cause);
  }
}
