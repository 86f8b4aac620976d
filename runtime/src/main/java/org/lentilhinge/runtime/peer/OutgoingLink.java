package org.lentilhinge.runtime.peer;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.AsyncResult;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.lentilhinge.identity.HostIncarnation;

/**
 * The link on which this host sends messages to one peer. A persistent link is kept open and pinged
 * all the time; any other is opened on demand, pinged after it was used, and closed when idle. A
 * connection whose peer stops responding to pings is replaced.
 */
final class OutgoingLink {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Limits the exponent of the backoff so that the shift cannot overflow. */
  private static final int MAXIMUM_DOUBLINGS = 20;

  /** The text of ECONNREFUSED, for which Java has no exception of its own. */
  private static final String CONNECTION_REFUSED = "Connection refused";

  private final PeerAddress peer;
  private final LinkEnvironment environment;
  private final PeerTimings timings;
  private final boolean persistent;
  private final Queue<byte[]> queue = new ArrayDeque<>();
  private Optional<FrameStream> stream = Optional.empty();
  private Optional<HostIncarnation> establishedPeer = Optional.empty();
  private byte[] ownHelloBytes = new byte[0];

  /** Whether the last attempt to connect was refused. */
  private boolean refused;

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

  /** Whether a message was sent after the last ping, so that a further ping is due. */
  private boolean usedSincePing;

  private boolean pingOutstanding;

  OutgoingLink(PeerAddress peer, LinkEnvironment environment) {
    this.peer = peer;
    this.environment = environment;
    timings = environment.settings().timings();
    persistent = peer.persistent();
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
    long now = environment.now();
    boolean pinged = persistent || pingOutstanding;
    if (pinged && now - lastPongAtMillis > timings.silenceTimeoutMillis()) {
      fail(LinkFailure.SILENT);
    } else if (!persistent && now - lastSendAtMillis > timings.idleTimeoutMillis()) {
      requested = false;
      fail(LinkFailure.IDLE);
    } else if (nextPingAtMillis <= now && (persistent || usedSincePing || pingOutstanding)) {
      ping(now);
    }
  }

  private void ping(long now) {
    nextPingAtMillis = now + timings.pingIntervalMillis();
    if (!persistent && !pingOutstanding) {
      // The silence counts from the first ping without a response.
      lastPongAtMillis = Math.max(lastPongAtMillis, now - timings.pingIntervalMillis());
      pingOutstanding = true;
    }
    usedSincePing = false;
    stream.ifPresent(frames -> frames.send(FrameKind.PING, new byte[0]));
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
      fail(isRefused(result.cause()) ? LinkFailure.REFUSED : LinkFailure.UNREACHABLE);
    } else {
      startHandshake(result.result(), dialGeneration);
    }
  }

  /** Other failures, such as a time-out, say nothing of the process at the other end. */
  private static boolean isRefused(Throwable cause) {
    return cause instanceof ConnectException
        && String.valueOf(cause.getMessage()).startsWith(CONNECTION_REFUSED);
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
      pingOutstanding = false;
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
    pingOutstanding = false;
    usedSincePing = true;
    environment.metrics().recordLinkUp();
    environment
        .listener()
        .onLinkChange(new LinkChange(acceptorHello.sender(), true, LinkFailure.NONE));
    frames.onDrain(this::flush);
    flush();
  }

  /**
   * Sends a message, or queues it while the connection is being established or its write queue is
   * full. Returns false if the message was dropped because the link is down or the queue is full,
   * which is also reported as a change of the link.
   */
  boolean send(byte[] message) {
    lastSendAtMillis = environment.now();
    requested = true;
    usedSincePing = true;
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
      reportUndelivered(refused ? LinkFailure.REFUSED : LinkFailure.UNREACHABLE);
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
    refused = failure == LinkFailure.REFUSED;
    stream = Optional.empty();
    environment.metrics().recordEnded(failure);
    environment.metrics().recordDropped(queue.size());
    boolean undelivered = !queue.isEmpty();
    queue.clear();
    nextDialAtMillis = environment.now() + backoffMillis();
    failures++;
    LOGGER.atFine().log("link peer=%s down reason=%s", peer.host(), failure);
    Optional<HostIncarnation> previous = establishedPeer;
    establishedPeer = Optional.empty();
    if (previous.isPresent()) {
      environment.metrics().recordLinkDown();
      environment.listener().onLinkChange(new LinkChange(previous.get(), false, failure));
    } else if (undelivered) {
      reportUndelivered(failure);
    }
  }

  private void reportUndelivered(LinkFailure failure) {
    HostIncarnation unknown = new HostIncarnation(peer.host(), 0);
    environment.listener().onLinkChange(new LinkChange(unknown, false, failure));
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
