package org.lentilhinge.runtime.forward;

/** Thrown when the store no longer has the requested changes. */
public final class HistoryCompactedException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param revision the revision after which the changes were requested
   */
  public HistoryCompactedException(long revision) {
    super("the store no longer has the changes after revision " + revision);
  }
}
