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

  private final byte mark;

  FrameKind(int code) {
    this.mark = (byte) code;
  }

  byte mark() {
    return mark;
  }

  static Optional<FrameKind> of(byte code) {
    for (FrameKind kind : values()) {
      if (kind.mark == code) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
