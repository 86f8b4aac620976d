package org.lentilhinge.attempt;

/**
 * Counts the chunks that were not delivered, the mismatched attempts and the resumed attempts of
 * all requests of a host.
 */
public final class AttemptCounters {

  private long late;
  private long misrouted;
  private long duplicated;
  private long mismatched;
  private long resumed;

  void countLate() {
    late++;
  }

  void countMisrouted() {
    misrouted++;
  }

  void countDuplicated() {
    duplicated++;
  }

  void countMismatched() {
    mismatched++;
  }

  void countResumed() {
    resumed++;
  }

  /**
   * Returns the number of chunks of an earlier attempt of the same request.
   *
   * @return the number
   */
  public long late() {
    return late;
  }

  /**
   * Returns the number of chunks of another request.
   *
   * @return the number
   */
  public long misrouted() {
    return misrouted;
  }

  /**
   * Returns the number of chunks that had been delivered before.
   *
   * @return the number
   */
  public long duplicated() {
    return duplicated;
  }

  /**
   * Returns the number of attempts that responded with another adapter version.
   *
   * @return the number
   */
  public long mismatched() {
    return mismatched;
  }

  /**
   * Returns the number of attempts that resumed a response.
   *
   * @return the number
   */
  public long resumed() {
    return resumed;
  }
}
