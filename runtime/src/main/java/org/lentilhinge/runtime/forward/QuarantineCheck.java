package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.OptionalLong;

/** Decides by the quarantine whether one request may be sent. */
final class QuarantineCheck {

  private static final String NO_DIGEST = "";

  private final QuarantineRunner quarantine;
  private final List<String> sharedParts;
  private final String digest;

  /**
   * Creates the check of a request.
   *
   * @param sharedParts the ids of the shared parts of its prompt
   * @param digest its digest
   */
  QuarantineCheck(QuarantineRunner quarantine, List<String> sharedParts, String digest) {
    this.quarantine = quarantine;
    this.sharedParts = sharedParts;
    this.digest = digest;
  }

  List<String> sharedParts() {
    return sharedParts;
  }

  String digest() {
    return digest;
  }

  /** Returns how long the request must not be sent; empty if it may be sent. */
  OptionalLong remainingMillis() {
    return quarantine.remainingMillis(sharedParts, digest);
  }

  boolean isRefused() {
    return remainingMillis().isPresent();
  }

  /** Returns why the request is refused, for the log and the caller. */
  String reason() {
    return quarantine.remainingMillis(sharedParts, NO_DIGEST).isPresent()
        ? "quarantined-prompt"
        : "quarantined-request";
  }

  /** Indicates whether the request should not be sent again if it may have run. */
  boolean isSuspected() {
    return quarantine.isSuspected(digest);
  }
}
