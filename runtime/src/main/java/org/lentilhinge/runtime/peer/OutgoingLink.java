package org.lentilhinge.runtime.peer;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.AsyncResult;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.lentilhinge.identity.HostIncarnation;

/**
 * The link on which this host sends messages to one peer. A link within the own zone is kept open;
 * a link to another zone is opened on demand and closed when idle. A connection whose peer stops
 * answering pings is replaced.
 */
final class OutgoingLink {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Limits the exponent of the backoff so that the shift cannot overflow. */
  private static final int MAXIMUM_DOUBLINGS = 20;

  private final PeerAddress peer;
  private final LinkEnvironment environment;
  private final PeerTimings timings;
  private final boolean kept;
  private final Queue<byte[]> queue = new ArrayDeque<>();
  private Optional<FrameStream> stream = Optional.empty();
  private Optional<HostIncarnation> established = Optional.empty();
  private byte[] hello = new byte[0];
  private boolean connecting;
  private boolean wanted;
  private boolean stopped;
  private int generation;
  private int failures;
  private long dialMillis;
  private long deadlineMillis;
  private long pingMillis;
  private long heardMillis;
  private long usedMillis;

  OutgoingLink(PeerAddress peer, LinkEnvironment environment) {
    this.peer = peer;
    this.environment = environment;
    timings = environment.settings().timings();
    kept = peer.zone().equals(environment.settings().zone());
  }

  PeerAddress peer() {
    return peer;
  }

  boolean isUp() {
    return established.isPresent();
  }

  /** Connects when due, sends pings, and ends a handshake or connection that timed out. */
  void tick() {
    if (stopped) {
      return;
    }
    if (established.isPresent()) {
      probe();
    } else if (connecting) {
      if (deadlineMillis <= environment.now()) {
        fail(LinkFailure.HANDSHAKE_TIMEOUT);
      }
    } else if ((kept || wanted) && dialMillis <= environment.now()) {
      dial();
    }
  }

  private void probe() {
    if (environment.now() - heardMillis > timings.silenceMillis()) {
      fail(LinkFailure.SILENT);
    } else if (!kept && environment.now() - usedMillis > timings.idleMillis()) {
      wanted = false;
      fail(LinkFailure.IDLE);
    } else if (pingMillis <= environment.now()) {
      pingMillis = environment.now() + timings.heartbeatMillis();
      stream.ifPresent(frames -> frames.send(FrameKind.PING, new byte[0]));
    }
  }

  private void dial() {
    connecting = true;
    generation++;
    int dialGeneration = generation;
    deadlineMillis = environment.now() + timings.handshakeMillis();
    environment
        .client()
        .connect(peer.port(), peer.address())
        .onComplete(result -> connected(dialGeneration, result));
  }

  private void connected(int dialGeneration, AsyncResult<NetSocket> result) {
    if (dialGeneration != generation || stopped) {
      if (result.succeeded()) {
        result.result().close();
      }
    } else if (result.failed()) {
      fail(LinkFailure.UNREACHABLE);
    } else {
      greet(result.result(), dialGeneration);
    }
  }

  private void greet(NetSocket socket, int dialGeneration) {
    FrameStream frames =
        new FrameStream(
            socket,
            environment.settings().maximumFrameBytes(),
            environment.metrics(),
            (kind, payload) -> receive(kind, payload),
            failure -> ended(dialGeneration, failure));
    stream = Optional.of(frames);
    hello = environment.authenticator().hello(environment.settings());
    frames.send(FrameKind.HELLO, hello);
  }

  private void receive(FrameKind kind, byte[] payload) throws MessageFormatException {
    if (kind == FrameKind.WELCOME && established.isEmpty()) {
      welcomed(environment.authenticator().readWelcome(payload));
    } else if (kind == FrameKind.PONG && established.isPresent()) {
      heardMillis = environment.now();
      failures = 0;
    } else {
      throw new MessageFormatException("unexpected " + kind + " from " + peer.host());
    }
  }

  private void welcomed(LinkWelcome welcome) throws MessageFormatException {
    LinkHello acceptorHello = environment.authenticator().readHello(welcome.hello());
    FrameStream frames = stream.orElseThrow();
    if (acceptorHello.version() != LinkHello.VERSION) {
      frames.end(LinkFailure.WRONG_VERSION);
    } else if (!acceptorHello.sender().host().equals(peer.host())) {
      frames.end(LinkFailure.UNKNOWN_PEER);
    } else if (!environment
        .authenticator()
        .isProof(welcome.proof(), LinkAuthenticator.ACCEPTOR, hello, welcome.hello())) {
      frames.end(LinkFailure.WRONG_SECRET);
    } else {
      establish(acceptorHello, welcome.hello(), frames);
    }
  }

  private void establish(LinkHello acceptorHello, byte[] acceptorHelloBytes, FrameStream frames) {
    byte[] signature =
        environment.authenticator().proof(LinkAuthenticator.DIALER, hello, acceptorHelloBytes);
    frames.send(FrameKind.PROOF, signature);
    established = Optional.of(acceptorHello.sender());
    connecting = false;
    heardMillis = environment.now();
    usedMillis = environment.now();
    pingMillis = environment.now();
    environment.metrics().linkUp();
    environment.listener().changed(new LinkChange(acceptorHello.sender(), true, LinkFailure.NONE));
    frames.onDrain(this::flush);
    flush();
  }

  /**
   * Sends a message, or queues it while the connection is being established or its write queue is
   * full. Returns false if the message was dropped because the link is down or the queue is full.
   */
  boolean send(byte[] message) {
    usedMillis = environment.now();
    wanted = true;
    tick();
    boolean canSend = established.isPresent() && queue.isEmpty() && !stream.orElseThrow().isFull();
    if (canSend) {
      stream.orElseThrow().send(FrameKind.MESSAGE, message);
      return true;
    }
    boolean canQueue = established.isPresent() || connecting;
    if (!canQueue || queue.size() >= environment.settings().maximumQueuedFrames()) {
      environment.metrics().dropped(1);
      return false;
    }
    queue.add(message);
    return true;
  }

  private void flush() {
    while (established.isPresent() && !queue.isEmpty() && !stream.orElseThrow().isFull()) {
      stream.orElseThrow().send(FrameKind.MESSAGE, queue.remove());
    }
  }

  private void fail(LinkFailure failure) {
    if (stream.isPresent()) {
      stream.get().end(failure);
    } else {
      ended(generation, failure);
    }
  }

  private void ended(int dialGeneration, LinkFailure failure) {
    if (dialGeneration != generation) {
      return;
    }
    generation++;
    connecting = false;
    stream = Optional.empty();
    environment.metrics().ended(failure);
    environment.metrics().dropped(queue.size());
    queue.clear();
    dialMillis = environment.now() + backoffMillis();
    failures++;
    LOGGER.atInfo().log("link peer=%s down reason=%s", peer.host(), failure);
    Optional<HostIncarnation> previous = established;
    established = Optional.empty();
    if (previous.isPresent()) {
      environment.metrics().linkDown();
      environment.listener().changed(new LinkChange(previous.get(), false, failure));
    }
  }

  /** Skips the rest of the backoff and connects immediately. */
  void retryNow() {
    if (!connecting && established.isEmpty()) {
      dialMillis = environment.now();
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
