package org.lentilhinge.runtime.peer;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.PublishProcessor;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import java.security.SecureRandom;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * Exchanges messages with the other entry hosts. A message is delivered at most once, and in the
 * order of sending as long as the link stays up; nothing is resent after a link has failed. All
 * work runs on one event loop, on which the streams also emit.
 */
public final class PeerNetwork {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final PeerSettings settings;
  private final Context context;
  private final Scheduler scheduler;
  private final PeerMetrics metrics;
  private final MessageCodec codec;
  private final LinkEnvironment environment;
  private final NetServer server;
  private final FlowableProcessor<ReceivedMessage> messages =
      PublishProcessor.<ReceivedMessage>create().toSerialized();
  private final FlowableProcessor<LinkChange> changes =
      PublishProcessor.<LinkChange>create().toSerialized();
  private final Map<HostId, OutgoingLink> outgoing = new HashMap<>();
  private final Map<HostId, IncomingLink> incoming = new HashMap<>();
  private final Set<IncomingLink> unauthenticated = new HashSet<>();
  private volatile Set<HostId> listedPeers = Set.of();
  private Optional<Disposable> tickTimer = Optional.empty();
  private boolean closed;
  private volatile Encoded latestEncoded;

  private record Encoded(PeerMessage message, byte[] bytes) {}

  private boolean unlistedPeersAccepted;

  /**
   * Creates a network that is not yet started.
   *
   * @param vertx creates the connections
   * @param scheduler provides the clock and the periodic timer
   * @param settings the settings
   * @param codec encodes and decodes the messages
   * @param metrics counts the events of the links
   * @param random jitters the reconnection backoff
   */
  public PeerNetwork(
      Vertx vertx,
      Scheduler scheduler,
      PeerSettings settings,
      MessageCodec codec,
      PeerMetrics metrics,
      Random random) {
    this.settings = settings;
    this.scheduler = scheduler;
    this.metrics = metrics;
    this.codec = codec;
    context = vertx.getOrCreateContext();
    environment =
        new LinkEnvironment(
            settings,
            vertx.createNetClient(clientOptions(settings)),
            new LinkAuthenticator(settings.secret(), new SecureRandom()),
            codec,
            metrics,
            random,
            () -> scheduler.now(TimeUnit.MILLISECONDS),
            new LinkListener());
    server = vertx.createNetServer(serverOptions(settings)).connectHandler(this::accept);
  }

  private static NetClientOptions clientOptions(PeerSettings settings) {
    NetClientOptions options =
        new NetClientOptions()
            .setConnectTimeout((int) settings.timings().handshakeTimeoutMillis())
            .setTcpNoDelay(true)
            .setReconnectAttempts(0);
    settings
        .tls()
        .ifPresent(
            tls ->
                options
                    .setSsl(true)
                    .setHostnameVerificationAlgorithm("")
                    .setKeyCertOptions(certificate(tls))
                    .setTrustOptions(trust(tls)));
    return options;
  }

  private static NetServerOptions serverOptions(PeerSettings settings) {
    NetServerOptions options =
        new NetServerOptions()
            .setHost(settings.address())
            .setPort(settings.port())
            .setTcpNoDelay(true);
    settings
        .tls()
        .ifPresent(
            tls ->
                options
                    .setSsl(true)
                    .setClientAuth(io.vertx.core.http.ClientAuth.REQUIRED)
                    .setKeyCertOptions(certificate(tls))
                    .setTrustOptions(trust(tls)));
    return options;
  }

  private static PemKeyCertOptions certificate(PeerTls tls) {
    return new PemKeyCertOptions().addCertPath(tls.certificatePath()).addKeyPath(tls.keyPath());
  }

  private static PemTrustOptions trust(PeerTls tls) {
    return new PemTrustOptions().addCertPath(tls.trustPath());
  }

  /**
   * Starts listening and connecting to the peers.
   *
   * @return completes with the port listened on, or fails if the port is in use
   */
  public Future<Integer> start() {
    Promise<Integer> started = Promise.promise();
    context.runOnContext(
        unused ->
            server
                .listen()
                .onSuccess(
                    listening -> {
                      startTicks();
                      started.complete(listening.actualPort());
                    })
                .onFailure(started::fail));
    return started.future();
  }

  private void startTicks() {
    long periodMillis = settings.timings().tickIntervalMillis();
    tickTimer =
        Optional.of(
            scheduler.schedulePeriodicallyDirect(
                () -> context.runOnContext(unused -> tick()),
                0,
                periodMillis,
                TimeUnit.MILLISECONDS));
  }

  private void tick() {
    if (closed) {
      return;
    }
    List.copyOf(outgoing.values()).forEach(OutgoingLink::tick);
    List.copyOf(incoming.values()).forEach(IncomingLink::tick);
    List.copyOf(unauthenticated).forEach(IncomingLink::tick);
  }

  /**
   * Replaces the list of peers. Links to hosts that are no longer listed are closed. Links from
   * them are closed and rejected as well, unless {@link #acceptUnlistedPeers} was called.
   *
   * @param addresses the peers; an entry for this host is ignored
   */
  public void updatePeers(Collection<PeerAddress> addresses) {
    Map<HostId, PeerAddress> listed = new HashMap<>();
    for (PeerAddress address : addresses) {
      if (!address.host().equals(settings.self().host())) {
        listed.put(address.host(), address);
      }
    }
    listedPeers = Set.copyOf(listed.keySet());
    context.runOnContext(unused -> replacePeers(listed));
  }

  /**
   * Accepts links from unlisted hosts as well, provided that they authenticate with the shared
   * secret. Intended for deployments whose hosts discover each other from a few seeds. Must be
   * called before {@link #start}.
   */
  public void acceptUnlistedPeers() {
    unlistedPeersAccepted = true;
  }

  private void replacePeers(Map<HostId, PeerAddress> listed) {
    for (OutgoingLink link : List.copyOf(outgoing.values())) {
      if (!link.peer().equals(listed.get(link.peer().host()))) {
        outgoing.remove(link.peer().host());
        link.stop();
      }
    }
    for (Map.Entry<HostId, IncomingLink> entry : Map.copyOf(incoming).entrySet()) {
      if (!unlistedPeersAccepted && !listed.containsKey(entry.getKey())) {
        entry.getValue().end(LinkFailure.STOPPED);
      }
    }
    for (PeerAddress address : listed.values()) {
      outgoing.computeIfAbsent(address.host(), host -> new OutgoingLink(address, environment));
    }
    tick();
  }

  private void accept(NetSocket socket) {
    if (closed) {
      socket.close();
    } else {
      unauthenticated.add(new IncomingLink(socket, environment));
    }
  }

  /**
   * Sends a message. A message to this host is delivered without a link. A message to a host whose
   * link is down is dropped and counted.
   *
   * @param receiver the receiving host
   * @param message the message
   */
  public void send(HostId receiver, PeerMessage message) {
    if (receiver.equals(settings.self().host())) {
      context.runOnContext(
          unused -> messages.onNext(new ReceivedMessage(settings.self(), message)));
      return;
    }
    byte[] bytes = encode(message);
    if (bytes.length >= settings.maximumFrameBytes()) {
      LOGGER.atWarning().log(
          "message=%s bytes=%d dropped: exceeds the maximum frame size",
          message.getClass().getSimpleName(), bytes.length);
      metrics.recordDropped(1);
      return;
    }
    context.runOnContext(unused -> sendEncoded(receiver, bytes));
  }

  /** Encodes a message, once if it is sent to several hosts in succession. */
  private byte[] encode(PeerMessage message) {
    Encoded latest = latestEncoded;
    if (latest == null || latest.message() != message) {
      latest = new Encoded(message, codec.encode(message));
      latestEncoded = latest;
    }
    return latest.bytes();
  }

  private void sendEncoded(HostId receiver, byte[] bytes) {
    OutgoingLink link = outgoing.get(receiver);
    if (link == null || closed) {
      metrics.recordDropped(1);
    } else {
      link.send(bytes);
    }
  }

  /**
   * Returns the messages received from all peers and from this host.
   *
   * @return a hot stream; subscribers must keep up, because the buffer is unbounded
   */
  public Flowable<ReceivedMessage> messages() {
    return messages.onBackpressureBuffer();
  }

  /**
   * Returns the changes of the links on which this host sends.
   *
   * @return a hot stream
   */
  public Flowable<LinkChange> changes() {
    return changes.onBackpressureBuffer();
  }

  /**
   * Closes all links and stops listening.
   *
   * @return completes when all links are closed and the port is released
   */
  public Future<Void> close() {
    Promise<Void> done = Promise.promise();
    context.runOnContext(
        unused -> {
          closeLinks();
          environment
              .client()
              .close()
              .transform(ignored -> server.close())
              .onComplete(ignored -> done.complete());
        });
    return done.future();
  }

  private void closeLinks() {
    closed = true;
    tickTimer.ifPresent(Disposable::dispose);
    List.copyOf(outgoing.values()).forEach(OutgoingLink::stop);
    List.copyOf(incoming.values()).forEach(link -> link.end(LinkFailure.STOPPED));
    List.copyOf(unauthenticated).forEach(link -> link.end(LinkFailure.STOPPED));
    messages.onComplete();
    changes.onComplete();
  }

  /** Updates the tables of links and forwards the events to the streams. */
  private final class LinkListener implements LinkEnvironment.Listener {

    @Override
    public boolean isKnown(HostId host) {
      return unlistedPeersAccepted || listedPeers.contains(host);
    }

    @Override
    public void onMessage(ReceivedMessage message) {
      messages.onNext(message);
    }

    @Override
    public void onLinkChange(LinkChange change) {
      changes.onNext(change);
    }

    @Override
    public void onAccepted(IncomingLink link, HostIncarnation peer) {
      unauthenticated.remove(link);
      IncomingLink previous = incoming.put(peer.host(), link);
      if (previous != null) {
        previous.end(LinkFailure.REPLACED);
      }
      // A peer that has just connected is likely to be reachable again.
      Optional.ofNullable(outgoing.get(peer.host())).ifPresent(OutgoingLink::retryNow);
    }

    @Override
    public void onClosed(IncomingLink link) {
      unauthenticated.remove(link);
      incoming.values().remove(link);
    }
  }
}
