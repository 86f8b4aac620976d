package org.lentilhinge.runtime.forward;

import java.io.IOException;

/** Reports that a call might no longer be made once there was a connection for it. */
public final class NotSentException extends IOException {

  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param call the method, address and target of the call
   */
  public NotSentException(String call) {
    super(call + ": not sent, as it may no longer be made");
  }
}
