package org.lentilhinge.configuration;

/** The urgency of a request. More urgent requests start first and are shed last. */
public enum Urgency {
  /** A person on site waits for the response. */
  URGENT,
  /** The request has ordinary urgency. */
  NORMAL,
  /** No person waits for the response. */
  BACKGROUND
}
