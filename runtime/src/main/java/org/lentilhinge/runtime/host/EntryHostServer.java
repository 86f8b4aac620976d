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

  private static final long TICK_INTERVAL_MILLIS = 100;
  private static final long HOST_LIST_INTERVAL_MILLIS = 2_000;
  private static final long HAND_OVER_TIMEOUT_MILLIS = 3_000;

  private final Settings settings;
  private final HostEnvironment environment;
  private final HostComponents components;
  private final CompositeDisposable timers = new CompositeDisposable();
  private int gatewayPort;
  private int peerPort;

  private EntryHostServer(Settings settings, HostEnvironment environment, Context context) {
    this.settings = settings;
    this.environment = environment;
    this.components = new HostComponents(settings, environment, context);
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
    long drainMillis = settings.stop().drainTimeoutMillis();
    components.status().markStopping();
    Completable handedOver =
        components
            .bookings()
            .handOver(components.partitions(), HAND_OVER_TIMEOUT_MILLIS)
            .timeout(
                HAND_OVER_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS,
                environment.scheduler(),
                Completable.complete());
    Completable released =
        Completable.fromAction(() -> components.loop().post(new HostEvent.StopRequested()))
            .andThen(components.commandExecutor().released())
            .timeout(
                drainMillis,
                TimeUnit.MILLISECONDS,
                environment.scheduler(),
                Completable.complete());
    return handedOver
        .andThen(released)
        .mergeWith(components.gateway().stop(drainMillis))
        .andThen(Completable.defer(this::close));
  }

  /**
   * Terminates the host immediately, as a crash would: nothing is completed, handed over or
   * released.
   *
   * @return completes when the ports are closed
   */
  public Completable kill() {
    return Completable.defer(this::close).mergeWith(components.gateway().stop(0));
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
      // The subscriber must receive the failure, because it would otherwise wait forever.
      emitter.tryOnError(failure);
    }
  }

  private Completable listen() {
    PeerNetwork peers = components.peers();
    FollowDriver follower = components.follower();
    Gateway gateway = components.gateway();
    return SingleHelper.<Integer>toSingle(handler -> peers.start().onComplete(handler))
        .doOnSuccess(port -> peerPort = port)
        .flatMap(ignored -> gateway.start())
        .doOnSuccess(port -> gatewayPort = port)
        .doOnSuccess(ignored -> components.loop().run(() -> startReceiving(peers, follower)))
        .ignoreElement();
  }

  private void startReceiving(PeerNetwork peers, FollowDriver follower) {
    timers.add(peers.messages().subscribe(this::onMessage));
    components.hostListPoller().start();
    follower.start();
    schedulePeriodically(TICK_INTERVAL_MILLIS, this::tick);
    schedulePeriodically(HOST_LIST_INTERVAL_MILLIS, components.hostListPoller()::poll);
  }

  private void onMessage(ReceivedMessage received) {
    HostId from = received.sender().host();
    components.loop().process(new HostEvent.MessageReceived(from, received.message()));
    components
        .loop()
        .guard("booking", () -> components.bookings().onMessage(from, received.message()));
    components.follower().receive(from, received.message());
  }

  private void tick() {
    components.loop().process(new HostEvent.Tick());
    components.loop().guard("booking tick", () -> components.bookings().tick());
    components.updatePeers();
  }

  private void schedulePeriodically(long periodMillis, Runnable action) {
    timers.add(
        environment
            .scheduler()
            .schedulePeriodicallyDirect(
                () -> components.loop().run(() -> runUnlessStopped(action)),
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
    components.follower().stop();
    return CompletableHelper.toCompletable(
        handler -> components.peers().close().onComplete(handler));
  }
}
