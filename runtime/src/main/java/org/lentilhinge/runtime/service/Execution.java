package org.lentilhinge.runtime.service;

import java.util.Locale;

/** Indicates whether a request was executed. */
public enum Execution {
  /** The request was definitely not executed. */
  NOT_RUN,
  /** The request was executed at least in part. */
  RAN,
  /** It is unknown whether the request was executed. */
  UNKNOWN;

  /**
   * Returns the name of the value as it appears in problem details.
   *
   * @return the name in lower case with hyphens
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
