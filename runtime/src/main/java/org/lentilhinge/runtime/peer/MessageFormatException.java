package org.lentilhinge.runtime.peer;

/** Signals that a peer sent bytes that violate the protocol. */
public final class MessageFormatException extends Exception {

  /**
   * Creates the exception.
   *
   * @param message what is malformed, and where
   */
  public MessageFormatException(String message) {
    super(message);
  }

  /**
   * Creates the exception.
   *
   * @param message what is malformed, and where
   * @param cause the exception of the decoder
   */
  public MessageFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}
