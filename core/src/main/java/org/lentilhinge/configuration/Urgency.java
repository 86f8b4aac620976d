package org.lentilhinge.configuration;

/** The urgency of a request. More urgent requests are queued first and shed last. */
public enum Urgency {
  /** A person on site waits for the response. */
  URGENT,
  /** The request has ordinary urgency. */
  NORMAL,
  /** No person waits for the response. */
  BACKGROUND
}
