package org.lentilhinge.emulator.service;

/** Faults that can be injected into a call. The call is executed in each case except the last. */
public enum ServiceFault {
  /** Executes the call and never responds. */
  SILENT,
  /** Executes the call and closes the connection. */
  RESET,
  /** Executes the call and closes the connection in the middle of the response. */
  PARTIAL,
  /** Executes the call and responds with a redirect. */
  REDIRECT,
  /** Executes the call, responds, and then closes the connection without announcing it. */
  CLOSE_IDLE,
  /** Closes the connection without executing the call. */
  DROP
}
