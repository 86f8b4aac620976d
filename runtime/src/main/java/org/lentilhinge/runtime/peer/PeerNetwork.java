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
 * Exchanges messages with the other entry hosts. A message arrives once or not at all, in the order
 * of sending as long as the link holds; nothing is repeated after a link broke. All work is done on
 * one event loop, on which the streams emit, too.
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
  private final Set<IncomingLink> unproved = new HashSet<>();
  private volatile Set<HostId> known = Set.of();
  private Optional<Disposable> ticks = Optional.empty();
  private boolean closed;
  private boolean open;

  /**
   * Creates a network that is not yet started.
   *
   * @param vertx makes the connections
   * @param scheduler gives the time and the ticks
   * @param settings the settings
   * @param codec carries the messages
   * @param metrics counts
   * @param random spreads the reconnections
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
            .setConnectTimeout((int) settings.timings().handshakeMillis())
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
   * Starts to listen and to connect.
   *
   * @return completes with the port listened on, or fails if it is taken
   */
  public Future<Integer> start() {
    Promise<Integer> started = Promise.promise();
    context.runOnContext(
        nothing ->
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
    long periodMillis = settings.timings().tickMillis();
    ticks =
        Optional.of(
            scheduler.schedulePeriodicallyDirect(
                () -> context.runOnContext(nothing -> tick()),
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
    List.copyOf(unproved).forEach(IncomingLink::tick);
  }

  /**
   * Names the peers. Links to those not named any more are closed, and none is taken from them.
   *
   * @param addresses the peers; the own host among them is passed over
   */
  public void peers(Collection<PeerAddress> addresses) {
    Map<HostId, PeerAddress> named = new HashMap<>();
    for (PeerAddress address : addresses) {
      if (!address.host().equals(settings.self().host())) {
        named.put(address.host(), address);
      }
    }
    known = Set.copyOf(named.keySet());
    context.runOnContext(nothing -> replacePeers(named));
  }

  /**
   * Accepts links from hosts that are not named, too, as long as they prove the secret. For systems
   * whose hosts find each other from a few seeds. To be called before the start.
   */
  public void takeAnyPeer() {
    open = true;
  }

  private void replacePeers(Map<HostId, PeerAddress> named) {
    for (OutgoingLink link : List.copyOf(outgoing.values())) {
      if (!link.peer().equals(named.get(link.peer().host()))) {
        outgoing.remove(link.peer().host());
        link.stop();
      }
    }
    for (Map.Entry<HostId, IncomingLink> link : Map.copyOf(incoming).entrySet()) {
      if (!open && !named.containsKey(link.getKey())) {
        link.getValue().end(LinkFailure.STOPPED);
      }
    }
    for (PeerAddress address : named.values()) {
      outgoing.computeIfAbsent(address.host(), host -> new OutgoingLink(address, environment));
    }
    tick();
  }

  private void accept(NetSocket socket) {
    if (closed) {
      socket.close();
    } else {
      unproved.add(new IncomingLink(socket, environment));
    }
  }

  /**
   * Sends a message. One to the own host is delivered without a link. One to a host whose link is
   * down is dropped and counted.
   *
   * @param receiver the receiver
   * @param message the message
   */
  public void send(HostId receiver, PeerMessage message) {
    if (receiver.equals(settings.self().host())) {
      context.runOnContext(
          nothing -> messages.onNext(new ReceivedMessage(settings.self(), message)));
      return;
    }
    byte[] bytes = codec.encode(message);
    if (bytes.length >= settings.maximumFrameBytes()) {
      LOGGER.atWarning().log(
          "message=%s bytes=%d dropped: longer than a frame",
          message.getClass().getSimpleName(), bytes.length);
      metrics.dropped(1);
      return;
    }
    context.runOnContext(nothing -> sendEncoded(receiver, bytes));
  }

  private void sendEncoded(HostId receiver, byte[] bytes) {
    OutgoingLink link = outgoing.get(receiver);
    if (link == null || closed) {
      metrics.dropped(1);
    } else {
      link.send(bytes);
    }
  }

  /**
   * Streams the messages of all peers.
   *
   * @return a hot stream; a subscriber has to keep up
   */
  public Flowable<ReceivedMessage> messages() {
    return messages.onBackpressureBuffer();
  }

  /**
   * Streams the changes of the links on which this host sends.
   *
   * @return a hot stream
   */
  public Flowable<LinkChange> changes() {
    return changes.onBackpressureBuffer();
  }

  /**
   * Closes all links and stops listening.
   *
   * @return completes when the port is free
   */
  public Future<Void> close() {
    Promise<Void> done = Promise.promise();
    context.runOnContext(
        nothing -> {
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
    ticks.ifPresent(Disposable::dispose);
    List.copyOf(outgoing.values()).forEach(OutgoingLink::stop);
    List.copyOf(incoming.values()).forEach(link -> link.end(LinkFailure.STOPPED));
    List.copyOf(unproved).forEach(link -> link.end(LinkFailure.STOPPED));
    messages.onComplete();
    changes.onComplete();
  }

  /** Keeps the network's tables of links. */
  private final class LinkListener implements LinkEnvironment.Listener {

    @Override
    public boolean isKnown(HostId host) {
      return open || known.contains(host);
    }

    @Override
    public void received(ReceivedMessage message) {
      messages.onNext(message);
    }

    @Override
    public void changed(LinkChange change) {
      changes.onNext(change);
    }

    @Override
    public void accepted(IncomingLink link, HostIncarnation peer) {
      unproved.remove(link);
      IncomingLink former = incoming.put(peer.host(), link);
      if (former != null) {
        former.end(LinkFailure.REPLACED);
      }
      // A peer that can reach this host is probably back.
      Optional.ofNullable(outgoing.get(peer.host())).ifPresent(OutgoingLink::retryNow);
    }

    @Override
    public void closed(IncomingLink link) {
      unproved.remove(link);
      incoming.values().remove(link);
    }
  }
}
