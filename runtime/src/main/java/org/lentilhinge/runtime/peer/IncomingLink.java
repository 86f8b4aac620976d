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
  private final long openedAtMillis;
  private Optional<LinkHello> peerHello = Optional.empty();
  private byte[] peerHelloBytes = new byte[0];
  private byte[] ownHelloBytes = new byte[0];
  private boolean established;
  private long lastReceivedAtMillis;

  IncomingLink(NetSocket socket, LinkEnvironment environment) {
    this.environment = environment;
    timings = environment.settings().timings();
    openedAtMillis = environment.now();
    stream =
        new FrameStream(
            socket,
            environment.settings().maximumFrameBytes(),
            environment.metrics(),
            this::receive,
            this::onEnded);
  }

  private void receive(FrameKind kind, byte[] payload) throws MessageFormatException {
    lastReceivedAtMillis = environment.now();
    if (established) {
      receiveEstablished(kind, payload);
    } else if (kind == FrameKind.HELLO && peerHello.isEmpty()) {
      receiveHello(payload);
    } else if (kind == FrameKind.PROOF && peerHello.isPresent()) {
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
    return peerHello.orElseThrow().sender();
  }

  private void receiveHello(byte[] payload) throws MessageFormatException {
    LinkHello receivedHello = environment.authenticator().readHello(payload);
    if (receivedHello.version() != LinkHello.VERSION) {
      stream.end(LinkFailure.WRONG_VERSION);
    } else if (!environment.listener().isKnown(receivedHello.sender().host())) {
      stream.end(LinkFailure.UNKNOWN_PEER);
    } else {
      peerHello = Optional.of(receivedHello);
      peerHelloBytes = payload;
      ownHelloBytes = environment.authenticator().hello(environment.settings());
      byte[] signature =
          environment
              .authenticator()
              .sign(LinkAuthenticator.ACCEPTOR, peerHelloBytes, ownHelloBytes);
      stream.send(FrameKind.WELCOME, environment.authenticator().welcome(ownHelloBytes, signature));
    }
  }

  private void receiveSignature(byte[] payload) {
    if (!environment
        .authenticator()
        .verify(payload, LinkAuthenticator.DIALER, peerHelloBytes, ownHelloBytes)) {
      stream.end(LinkFailure.WRONG_SECRET);
      return;
    }
    established = true;
    LOGGER.atFine().log("link from=%s accepted", sender());
    environment.listener().onAccepted(this, sender());
  }

  /** Closes the connection if it has been silent for too long or its handshake timed out. */
  void tick() {
    long nowMillis = environment.now();
    // A peer that opened the link on demand sends nothing, not even pings, while it is idle.
    long silenceMillis = timings.idleTimeoutMillis() + timings.silenceTimeoutMillis();
    if (established && nowMillis - lastReceivedAtMillis > silenceMillis) {
      stream.end(LinkFailure.SILENT);
    } else if (!established && nowMillis - openedAtMillis > timings.handshakeTimeoutMillis()) {
      stream.end(LinkFailure.HANDSHAKE_TIMEOUT);
    }
  }

  void end(LinkFailure failure) {
    stream.end(failure);
  }

  private void onEnded(LinkFailure failure) {
    environment.metrics().recordEnded(failure);
    LOGGER.atFine().log(
        "link from=%s ended reason=%s",
        peerHello.map(receivedHello -> receivedHello.sender().toString()).orElse("unproved"),
        failure);
    environment.listener().onClosed(this);
  }
}
