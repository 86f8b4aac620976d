package org.lentilhinge.runtime.peer;

import java.util.Optional;

/** The kinds of frames, each with the byte that identifies it on the wire. */
enum FrameKind {
  HELLO(1),
  WELCOME(2),
  PROOF(3),
  PING(4),
  PONG(5),
  MESSAGE(6);

  private final byte code;

  FrameKind(int code) {
    this.code = (byte) code;
  }

  byte code() {
    return code;
  }

  static Optional<FrameKind> of(byte code) {
    for (FrameKind kind : values()) {
      if (kind.code == code) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
