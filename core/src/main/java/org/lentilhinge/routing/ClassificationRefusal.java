package org.lentilhinge.routing;

/** Lists the reasons why no adapter was found for a request. Such a request has not been run. */
public enum ClassificationRefusal {
  /** The configuration does not declare the caller. */
  UNKNOWN_CALLER,
  /** None of the caller's rules matches the request. */
  NO_MATCHING_RULE,
  /** The matching rule names an adapter that the configuration does not declare. */
  UNKNOWN_ADAPTER
}
