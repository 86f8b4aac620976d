package org.lentilhinge.admission;

/** Lists the reasons why a request was not admitted. Such a request has not been run. */
public enum AdmissionReason {
  /** The caller has reached its maximum number of concurrent requests in the gateway. */
  CALLER_LIMIT,
  /** The queue is full of requests that have precedence. */
  QUEUE_FULL,
  /** The request could not start in time behind the requests that have precedence. */
  WAIT_TOO_LONG,
  /** The request did not start before its deadline. */
  DEADLINE
}
