package org.lentilhinge.runtime.forward;

import org.lentilhinge.identity.StoreRevision;

/** Thrown when the store no longer has the requested changes. */
public final class HistoryCompactedException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param revision the revision after which the changes were requested
   */
  public HistoryCompactedException(StoreRevision revision) {
    super("the store no longer has the changes after revision " + revision);
  }
}
