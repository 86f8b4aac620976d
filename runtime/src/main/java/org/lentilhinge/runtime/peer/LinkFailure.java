package org.lentilhinge.runtime.peer;

/** The reasons why a link ended. Each reason has its own counter. */
public enum LinkFailure {
  /** The link has not ended. */
  NONE,
  /** The other end closed the connection. */
  CLOSED,
  /** No connection could be established. */
  UNREACHABLE,
  /** The other machine refused the connection: no process listens at the address. */
  REFUSED,
  /** Connecting and the handshake together exceeded their timeout. */
  HANDSHAKE_TIMEOUT,
  /** The other end uses a different version of the protocol. */
  WRONG_VERSION,
  /** The other end is not the expected host or not a known host. */
  UNKNOWN_PEER,
  /** The signature of the other end does not match the shared secret. */
  WRONG_SECRET,
  /** The other end sent a frame that exceeds the size limit. */
  OVERSIZED_FRAME,
  /** The other end sent a frame that is malformed or not allowed in the current state. */
  BAD_FRAME,
  /** The other end sent nothing, not even responses to pings, for too long. */
  SILENT,
  /** A newer connection from the same host replaced the link. */
  REPLACED,
  /** No message was sent on the link within the idle timeout. */
  IDLE,
  /** The peer is no longer listed, or this host is stopping. */
  STOPPED
}
