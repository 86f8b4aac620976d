package org.lentilhinge.emulator.engine;

/** Faults that can be injected into a response. */
public enum StreamFault {
  /** Stops sending and leaves the connection open. */
  SILENT,
  /** Closes the connection. */
  CRASH,
  /** Ends the HTTP response regularly, but without the last event. */
  TRUNCATE,
  /** Sends the last event before the response is complete. */
  END_EARLY,
  /** Sends a token twice. */
  DUPLICATE,
  /** Omits a token. */
  SKIP,
  /** Sends a token of another attempt before the expected token. */
  CROSS,
  /** Names another adapter version as the model of a token. */
  WRONG_MODEL,
  /** Rejects the request with status 503, as an overloaded engine does. */
  REFUSE
}
