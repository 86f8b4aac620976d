package org.lentilhinge.runtime.forward;

/** Tells that the store no longer has the changes that were asked for. */
public final class HistoryLostException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Makes the exception.
   *
   * @param revision the revision from which the changes were asked for
   */
  public HistoryLostException(long revision) {
    super("the store has no changes after revision " + revision);
  }
}
