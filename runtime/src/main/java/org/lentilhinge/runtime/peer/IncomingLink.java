package org.lentilhinge.runtime.peer;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.net.NetSocket;
import java.util.Optional;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/** A connection that a peer opened and on which this host receives messages. */
final class IncomingLink {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final LinkEnvironment environment;
  private final PeerTimings timings;
  private final FrameStream stream;
  private final long openedMillis;
  private Optional<LinkHello> hello = Optional.empty();
  private byte[] dialerHello = new byte[0];
  private byte[] ownHello = new byte[0];
  private boolean established;
  private long lastReceivedMillis;

  IncomingLink(NetSocket socket, LinkEnvironment environment) {
    this.environment = environment;
    timings = environment.settings().timings();
    openedMillis = environment.now();
    stream =
        new FrameStream(
            socket,
            environment.settings().maximumFrameBytes(),
            environment.metrics(),
            this::receive,
            this::onEnded);
  }

  private void receive(FrameKind kind, byte[] payload) throws MessageFormatException {
    lastReceivedMillis = environment.now();
    if (established) {
      receiveEstablished(kind, payload);
    } else if (kind == FrameKind.HELLO && hello.isEmpty()) {
      receiveHello(payload);
    } else if (kind == FrameKind.PROOF && hello.isPresent()) {
      receiveSignature(payload);
    } else {
      throw new MessageFormatException("unexpected " + kind + " before the handshake signature");
    }
  }

  private void receiveEstablished(FrameKind kind, byte[] payload) throws MessageFormatException {
    if (kind == FrameKind.PING) {
      stream.send(FrameKind.PONG, payload);
    } else if (kind == FrameKind.MESSAGE) {
      deliver(payload);
    } else {
      throw new MessageFormatException("unexpected " + kind);
    }
  }

  private void deliver(byte[] payload) throws MessageFormatException {
    Optional<PeerMessage> message = environment.codec().decode(payload);
    if (message.isPresent()) {
      environment.listener().onMessage(new ReceivedMessage(sender(), message.get()));
    } else {
      environment.metrics().recordUnknown();
    }
  }

  private HostIncarnation sender() {
    return hello.orElseThrow().sender();
  }

  private void receiveHello(byte[] payload) throws MessageFormatException {
    LinkHello peerHello = environment.authenticator().readHello(payload);
    if (peerHello.version() != LinkHello.VERSION) {
      stream.end(LinkFailure.WRONG_VERSION);
    } else if (!environment.listener().isKnown(peerHello.sender().host())) {
      stream.end(LinkFailure.UNKNOWN_PEER);
    } else {
      hello = Optional.of(peerHello);
      dialerHello = payload;
      ownHello = environment.authenticator().hello(environment.settings());
      byte[] signature =
          environment.authenticator().sign(LinkAuthenticator.ACCEPTOR, dialerHello, ownHello);
      stream.send(FrameKind.WELCOME, environment.authenticator().welcome(ownHello, signature));
    }
  }

  private void receiveSignature(byte[] payload) {
    if (!environment
        .authenticator()
        .verify(payload, LinkAuthenticator.DIALER, dialerHello, ownHello)) {
      stream.end(LinkFailure.WRONG_SECRET);
      return;
    }
    established = true;
    LOGGER.atInfo().log("link from=%s accepted", sender());
    environment.listener().onAccepted(this, sender());
  }

  /** Closes the connection if it has been silent for too long or its handshake timed out. */
  void tick() {
    long nowMillis = environment.now();
    if (established && nowMillis - lastReceivedMillis > timings.silenceTimeoutMillis()) {
      stream.end(LinkFailure.SILENT);
    } else if (!established && nowMillis - openedMillis > timings.handshakeTimeoutMillis()) {
      stream.end(LinkFailure.HANDSHAKE_TIMEOUT);
    }
  }

  void end(LinkFailure failure) {
    stream.end(failure);
  }

  private void onEnded(LinkFailure failure) {
    environment.metrics().recordEnded(failure);
    LOGGER.atInfo().log(
        "link from=%s ended reason=%s",
        hello.map(peerHello -> peerHello.sender().toString()).orElse("unproved"), failure);
    environment.listener().onClosed(this);
  }
}
