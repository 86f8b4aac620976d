package org.lentilhinge.runtime.peer;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.AsyncResult;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.lentilhinge.identity.HostIncarnation;

/**
 * The link on which this host sends messages to one peer. A link within the host's own zone is kept
 * open; a link to another zone is opened on demand and closed when idle. A connection whose peer
 * stops responding to pings is replaced.
 */
final class OutgoingLink {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Limits the exponent of the backoff so that the shift cannot overflow. */
  private static final int MAXIMUM_DOUBLINGS = 20;

  private final PeerAddress peer;
  private final LinkEnvironment environment;
  private final PeerTimings timings;
  private final boolean persistent;
  private final Queue<byte[]> queue = new ArrayDeque<>();
  private Optional<FrameStream> stream = Optional.empty();
  private Optional<HostIncarnation> establishedPeer = Optional.empty();
  private byte[] ownHelloBytes = new byte[0];
  private boolean connecting;
  private boolean requested;
  private boolean stopped;
  private int generation;
  private int failures;
  private long nextDialAtMillis;
  private long handshakeDeadlineAtMillis;
  private long nextPingAtMillis;
  private long lastPongAtMillis;
  private long lastSendAtMillis;

  OutgoingLink(PeerAddress peer, LinkEnvironment environment) {
    this.peer = peer;
    this.environment = environment;
    timings = environment.settings().timings();
    persistent = peer.zone().equals(environment.settings().zone());
  }

  PeerAddress peer() {
    return peer;
  }

  boolean isUp() {
    return establishedPeer.isPresent();
  }

  /** Connects when due, sends pings, and ends a handshake or connection that timed out. */
  void tick() {
    if (stopped) {
      return;
    }
    if (establishedPeer.isPresent()) {
      probe();
    } else if (connecting) {
      if (handshakeDeadlineAtMillis <= environment.now()) {
        fail(LinkFailure.HANDSHAKE_TIMEOUT);
      }
    } else if ((persistent || requested) && nextDialAtMillis <= environment.now()) {
      dial();
    }
  }

  private void probe() {
    if (environment.now() - lastPongAtMillis > timings.silenceTimeoutMillis()) {
      fail(LinkFailure.SILENT);
    } else if (!persistent && environment.now() - lastSendAtMillis > timings.idleTimeoutMillis()) {
      requested = false;
      fail(LinkFailure.IDLE);
    } else if (nextPingAtMillis <= environment.now()) {
      nextPingAtMillis = environment.now() + timings.pingIntervalMillis();
      stream.ifPresent(frames -> frames.send(FrameKind.PING, new byte[0]));
    }
  }

  private void dial() {
    connecting = true;
    generation++;
    int dialGeneration = generation;
    handshakeDeadlineAtMillis = environment.now() + timings.handshakeTimeoutMillis();
    environment
        .client()
        .connect(peer.port(), peer.address())
        .onComplete(result -> onConnected(dialGeneration, result));
  }

  private void onConnected(int dialGeneration, AsyncResult<NetSocket> result) {
    if (dialGeneration != generation || stopped) {
      if (result.succeeded()) {
        result.result().close();
      }
    } else if (result.failed()) {
      fail(LinkFailure.UNREACHABLE);
    } else {
      startHandshake(result.result(), dialGeneration);
    }
  }

  private void startHandshake(NetSocket socket, int dialGeneration) {
    FrameStream frames =
        new FrameStream(
            socket,
            environment.settings().maximumFrameBytes(),
            environment.metrics(),
            (kind, payload) -> receive(kind, payload),
            failure -> onEnded(dialGeneration, failure));
    stream = Optional.of(frames);
    ownHelloBytes = environment.authenticator().hello(environment.settings());
    frames.send(FrameKind.HELLO, ownHelloBytes);
  }

  private void receive(FrameKind kind, byte[] payload) throws MessageFormatException {
    if (kind == FrameKind.WELCOME && establishedPeer.isEmpty()) {
      receiveWelcome(environment.authenticator().readWelcome(payload));
    } else if (kind == FrameKind.PONG && establishedPeer.isPresent()) {
      lastPongAtMillis = environment.now();
      failures = 0;
    } else {
      throw new MessageFormatException("unexpected " + kind + " from " + peer.host());
    }
  }

  private void receiveWelcome(LinkWelcome welcome) throws MessageFormatException {
    LinkHello acceptorHello = environment.authenticator().readHello(welcome.hello());
    FrameStream frames = stream.orElseThrow();
    if (acceptorHello.version() != LinkHello.VERSION) {
      frames.end(LinkFailure.WRONG_VERSION);
    } else if (!acceptorHello.sender().host().equals(peer.host())) {
      frames.end(LinkFailure.UNKNOWN_PEER);
    } else if (!environment
        .authenticator()
        .verify(welcome.signature(), LinkAuthenticator.ACCEPTOR, ownHelloBytes, welcome.hello())) {
      frames.end(LinkFailure.WRONG_SECRET);
    } else {
      establish(acceptorHello, welcome.hello(), frames);
    }
  }

  private void establish(LinkHello acceptorHello, byte[] acceptorHelloBytes, FrameStream frames) {
    byte[] signature =
        environment
            .authenticator()
            .sign(LinkAuthenticator.DIALER, ownHelloBytes, acceptorHelloBytes);
    frames.send(FrameKind.PROOF, signature);
    establishedPeer = Optional.of(acceptorHello.sender());
    connecting = false;
    lastPongAtMillis = environment.now();
    lastSendAtMillis = environment.now();
    nextPingAtMillis = environment.now();
    environment.metrics().recordLinkUp();
    environment
        .listener()
        .onLinkChange(new LinkChange(acceptorHello.sender(), true, LinkFailure.NONE));
    frames.onDrain(this::flush);
    flush();
  }

  /**
   * Sends a message, or queues it while the connection is being established or its write queue is
   * full. Returns false if the message was dropped because the link is down or the queue is full.
   */
  boolean send(byte[] message) {
    lastSendAtMillis = environment.now();
    requested = true;
    tick();
    boolean canSend =
        establishedPeer.isPresent() && queue.isEmpty() && !stream.orElseThrow().isFull();
    if (canSend) {
      stream.orElseThrow().send(FrameKind.MESSAGE, message);
      return true;
    }
    boolean canQueue = establishedPeer.isPresent() || connecting;
    if (!canQueue || queue.size() >= environment.settings().maximumQueuedFrames()) {
      environment.metrics().recordDropped(1);
      return false;
    }
    queue.add(message);
    return true;
  }

  private void flush() {
    while (establishedPeer.isPresent() && !queue.isEmpty() && !stream.orElseThrow().isFull()) {
      stream.orElseThrow().send(FrameKind.MESSAGE, queue.remove());
    }
  }

  private void fail(LinkFailure failure) {
    if (stream.isPresent()) {
      stream.get().end(failure);
    } else {
      onEnded(generation, failure);
    }
  }

  private void onEnded(int dialGeneration, LinkFailure failure) {
    if (dialGeneration != generation) {
      return;
    }
    generation++;
    connecting = false;
    stream = Optional.empty();
    environment.metrics().recordEnded(failure);
    environment.metrics().recordDropped(queue.size());
    queue.clear();
    nextDialAtMillis = environment.now() + backoffMillis();
    failures++;
    LOGGER.atInfo().log("link peer=%s down reason=%s", peer.host(), failure);
    Optional<HostIncarnation> previous = establishedPeer;
    establishedPeer = Optional.empty();
    if (previous.isPresent()) {
      environment.metrics().recordLinkDown();
      environment.listener().onLinkChange(new LinkChange(previous.get(), false, failure));
    }
  }

  /** Skips the rest of the backoff and connects immediately. */
  void retryNow() {
    if (!connecting && establishedPeer.isEmpty()) {
      nextDialAtMillis = environment.now();
      tick();
    }
  }

  private long backoffMillis() {
    long doubled = timings.minimumBackoffMillis() << Math.min(failures, MAXIMUM_DOUBLINGS);
    long ceiling = Math.min(timings.maximumBackoffMillis(), doubled);
    return ceiling / 2 + (long) (environment.random().nextDouble() * (ceiling / 2 + 1));
  }

  void stop() {
    if (!stopped) {
      stopped = true;
      fail(LinkFailure.STOPPED);
    }
  }
}
