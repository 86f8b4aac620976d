package org.lentilhinge.runtime.peer;

import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;

/** The first message that each end of a link sends in the handshake. */
record LinkHello(int version, HostIncarnation sender, ZoneId zone, byte[] nonce) {

  static final int VERSION = 1;
}
