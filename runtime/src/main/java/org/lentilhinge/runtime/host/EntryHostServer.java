package org.lentilhinge.runtime.host;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.vertx.core.Context;
import io.vertx.rxjava3.CompletableHelper;
import io.vertx.rxjava3.SingleHelper;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.host.HostEvent;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.runtime.gateway.Gateway;
import org.lentilhinge.runtime.peer.PeerNetwork;
import org.lentilhinge.runtime.peer.ReceivedMessage;
import org.lentilhinge.runtime.platform.FollowDriver;
import org.lentilhinge.runtime.settings.Settings;

/**
 * Runs one entry host: the gateway for callers, the links to other hosts, the configuration
 * follower and the host list poller, all on one Vert.x context.
 */
public final class EntryHostServer {

  private static final long TICK_MILLIS = 100;
  private static final long LIST_MILLIS = 2_000;
  private static final long HAND_OVER_MILLIS = 3_000;

  private final Settings settings;
  private final HostEnvironment environment;
  private final HostParts parts;
  private final CompositeDisposable timers = new CompositeDisposable();
  private int gatewayPort;
  private int peerPort;

  private EntryHostServer(Settings settings, HostEnvironment environment, Context context) {
    this.settings = settings;
    this.environment = environment;
    this.parts = new HostParts(settings, environment, context);
  }

  /**
   * Starts a host.
   *
   * @param settings the settings of the host
   * @param environment the shared resources of the process
   * @return the running host; fails with a {@link java.net.BindException} if a port is in use
   */
  public static Single<EntryHostServer> start(Settings settings, HostEnvironment environment) {
    Context context = environment.vertx().getOrCreateContext();
    return Single.create(
        emitter -> context.runOnContext(ignored -> start(settings, environment, context, emitter)));
  }

  /**
   * Returns the id of the host.
   *
   * @return the host
   */
  public HostId host() {
    return settings.host().name();
  }

  /**
   * Returns the port for callers.
   *
   * @return the port
   */
  public int gatewayPort() {
    return gatewayPort;
  }

  /**
   * Returns the port for other hosts.
   *
   * @return the port
   */
  public int peerPort() {
    return peerPort;
  }

  /**
   * Performs a planned stop: reports the host as not ready, hands over its bookings, releases its
   * leases, waits for running requests within the drain timeout of the settings, and closes its
   * ports.
   *
   * @return completes when the host has stopped
   */
  public Completable stop() {
    long drainMillis = settings.stop().drainMillis();
    parts.status().stop();
    Completable handedOver =
        parts
            .bookings()
            .leave(parts.partitions(), HAND_OVER_MILLIS)
            .timeout(
                HAND_OVER_MILLIS,
                TimeUnit.MILLISECONDS,
                environment.scheduler(),
                Completable.complete());
    Completable released =
        Completable.fromAction(() -> parts.loop().post(new HostEvent.StopRequested()))
            .andThen(parts.commands().released())
            .timeout(
                drainMillis,
                TimeUnit.MILLISECONDS,
                environment.scheduler(),
                Completable.complete());
    return handedOver
        .andThen(released)
        .mergeWith(parts.gateway().stop(drainMillis))
        .andThen(Completable.defer(this::close));
  }

  /**
   * Terminates the host immediately, as a crash would: nothing is completed, handed over or
   * released.
   *
   * @return completes when the ports are closed
   */
  public Completable kill() {
    return Completable.defer(this::close).mergeWith(parts.gateway().stop(0));
  }

  private static void start(
      Settings settings,
      HostEnvironment environment,
      Context context,
      SingleEmitter<EntryHostServer> emitter) {
    try {
      EntryHostServer server = new EntryHostServer(settings, environment, context);
      server.timers.add(
          server.listen().subscribe(() -> emitter.onSuccess(server), emitter::tryOnError));
    } catch (RuntimeException | LinkageError failure) {
      // An error must reach the subscriber of the start, which would otherwise wait forever.
      emitter.tryOnError(failure);
    }
  }

  private Completable listen() {
    PeerNetwork peers = parts.peers();
    FollowDriver follower = parts.follower();
    Gateway gateway = parts.gateway();
    return SingleHelper.<Integer>toSingle(handler -> peers.start().onComplete(handler))
        .doOnSuccess(port -> peerPort = port)
        .flatMap(ignored -> gateway.start())
        .doOnSuccess(port -> gatewayPort = port)
        .doOnSuccess(ignored -> parts.loop().run(() -> run(peers, follower)))
        .ignoreElement();
  }

  private void run(PeerNetwork peers, FollowDriver follower) {
    timers.add(peers.messages().subscribe(this::received));
    parts.lists().start();
    follower.start();
    every(TICK_MILLIS, this::tick);
    every(LIST_MILLIS, parts.lists()::read);
  }

  private void received(ReceivedMessage received) {
    HostId from = received.sender().host();
    parts.loop().take(new HostEvent.MessageReceived(from, received.message()));
    parts.loop().guard("booking", () -> parts.bookings().received(from, received.message()));
    parts.follower().receive(from, received.message());
  }

  private void tick() {
    parts.loop().take(new HostEvent.Tick());
    parts.loop().guard("booking tick", () -> parts.bookings().tick());
    parts.tellPeers();
  }

  private void every(long periodMillis, Runnable action) {
    timers.add(
        environment
            .scheduler()
            .schedulePeriodicallyDirect(
                () -> parts.loop().run(() -> runUnlessStopped(action)),
                periodMillis,
                periodMillis,
                TimeUnit.MILLISECONDS));
  }

  private void runUnlessStopped(Runnable action) {
    if (!timers.isDisposed()) {
      action.run();
    }
  }

  private Completable close() {
    timers.dispose();
    parts.follower().stop();
    return CompletableHelper.toCompletable(handler -> parts.peers().close().onComplete(handler));
  }
}
