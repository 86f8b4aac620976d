package org.lentilhinge.runtime.peer;

import io.vertx.core.net.NetClient;
import java.util.Random;
import java.util.function.LongSupplier;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;

/** The objects shared by all links of a host. All links run on the same event loop. */
record LinkEnvironment(
    PeerSettings settings,
    NetClient client,
    LinkAuthenticator authenticator,
    MessageCodec codec,
    PeerMetrics metrics,
    Random random,
    LongSupplier clock,
    Listener listener) {

  /** Returns the monotonic time in milliseconds. */
  long now() {
    return clock.getAsLong();
  }

  /** Receives the events of the links. */
  interface Listener {

    boolean isKnown(HostId host);

    void onMessage(ReceivedMessage message);

    void onLinkChange(LinkChange change);

    void onAccepted(IncomingLink link, HostIncarnation peer);

    void onClosed(IncomingLink link);
  }
}
