package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lentilhinge.fleet.EndpointDepartureNews;
import org.lentilhinge.fleet.EndpointDepartures;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.limit.EndpointLimitNews;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.overlay.HostOverlay;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.overlay.RelaySelector;
import org.lentilhinge.path.PathAnswer;
import org.lentilhinge.path.PathMonitor;
import org.lentilhinge.path.PathNews;
import org.lentilhinge.path.PathQuery;
import org.lentilhinge.permit.EngineStatuses;
import org.lentilhinge.permit.OpenPermits;
import org.lentilhinge.permit.OwnershipAnswer;
import org.lentilhinge.permit.OwnershipQuery;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitReturn;
import org.lentilhinge.permit.StatusRelay;
import org.lentilhinge.published.DeclarationNews;
import org.lentilhinge.published.ListingNews;
import org.lentilhinge.quarantine.RequestObservations;
import org.lentilhinge.quarantine.RequestQuarantine;
import org.lentilhinge.resume.StreamOriginAnswer;
import org.lentilhinge.resume.StreamOriginExchange;
import org.lentilhinge.resume.StreamOriginNews;
import org.lentilhinge.resume.StreamOriginQuery;
import org.lentilhinge.runtime.listen.OptionalListener;
import org.lentilhinge.runtime.metric.MetricExposition;
import org.lentilhinge.runtime.peer.MessageCodec;
import org.lentilhinge.runtime.peer.PeerMetrics;
import org.lentilhinge.runtime.peer.PeerNetwork;
import org.lentilhinge.runtime.peer.PeerSettings;
import org.lentilhinge.runtime.peer.PeerTimings;
import org.lentilhinge.runtime.peer.ReceivedMessage;

/** Runs one host of the forwarding path. All parts of the host run on one event loop. */
public final class ForwardHost {

  private static final int MAXIMUM_FRAME_BYTES = 1_048_576;

  /**
   * The interval between ticks, in milliseconds. One timer drives all periodic work, because each
   * wake-up of an idle host costs processor time.
   */
  private static final long TICK_INTERVAL_MILLIS = 50;

  /** The number of ticks between two times at which a relay passes on engine statuses. */
  private static final int TICKS_PER_RELAY = 4;

  /** The number of ticks between two updates of the engine statuses. */
  private static final int TICKS_PER_STATUS = 4;

  /**
   * The timings of links that are mostly idle: pings a second apart instead of half, as the
   * membership also detects failures.
   */
  private static final PeerTimings LINK_TIMINGS =
      new PeerTimings(100, 1_000, 2_000, 2_000, 50, 2_000, 60_000);

  /**
   * Permit ids start at a random 31-bit number, shifted to leave 20 bits for the counter within one
   * incarnation of the host.
   */
  private static final long FIRST_PERMIT_ID_MASK = 0x7fffffffL;

  private static final int FIRST_PERMIT_ID_SHIFT = 20;

  private final HostContext context;
  private final Context loop;
  private final HostState state;
  private final PeerNetwork peers;
  private final OverlayRunner overlay;
  private final StatusExchange statuses;
  private final PermitClient permits;
  private final EngineSchedulers schedulers;
  private final HostConnections connections;
  private final StoreFollower follower;
  private final QuarantineRunner quarantine;
  private final EndpointLimitRunner limits;
  private final EndpointDepartureRunner departures;
  private final PathRunner paths;
  private final StreamOriginExchange streamOrigins;
  private final Forwarder forwarder;
  private final MessageHandlers handlers;
  private final CallerServer callerServer;
  private final CallerServer readinessServer;
  private Optional<CallerServer> metricsServer = Optional.empty();
  private final Promise<Void> stopped = Promise.promise();
  private long ticks;

  /**
   * Creates a host that is not started yet.
   *
   * @param vertx provides the timers and sockets
   * @param loop the event loop that all parts run on
   * @param scheduler drives the ticks of the peer links
   * @param settings the settings
   * @param platform the protocol of the platform
   * @param log receives a line for each decision
   * @param metrics receives the measurements
   * @param clocks the clocks
   * @param random adds jitter to the intervals of reads and connection attempts
   */
  public ForwardHost(
      Vertx vertx,
      Context loop,
      Scheduler scheduler,
      ForwardSettings settings,
      ForwardPlatform platform,
      EventLog log,
      MetricRegistry metrics,
      Clocks clocks,
      Random random) {
    this.loop = loop;
    context = new HostContext(vertx, settings, clocks.monotonicMillis(), log, metrics);
    long startedAtMillis = clocks.wallMillis().getAsLong();
    HostRecord self = createRecord(settings, random.nextLong(), startedAtMillis);
    List<String> seeds = settings.seeds().stream().map(HostNames::ofAddress).toList();
    state = new HostState(context, new HostOverlay(self, seeds, random));
    connections = new HostConnections(context, platform.headerTranslator());
    peers = createPeerNetwork(scheduler, startedAtMillis, random);
    PeerSender sender = this::send;
    statuses = new StatusExchange(context, state, new StatusRelay(self), sender);
    permits =
        new PermitClient(
            sender,
            context.clock(),
            (random.nextInt() & FIRST_PERMIT_ID_MASK) << FIRST_PERMIT_ID_SHIFT);
    HostBroadcast broadcast = new HostBroadcast(context, state, new RelaySelector(self), sender);
    limits = new EndpointLimitRunner(context, state, broadcast, sender);
    departures =
        new EndpointDepartureRunner(context, state, new EndpointDepartures(random), broadcast);
    EngineControl control =
        platform.control(
            connections.orderClient(), connections.reportClient(), departures::recordResponse);
    schedulers = new EngineSchedulers(context, control, sender, statuses, state, limits);
    overlay =
        new OverlayRunner(
            context,
            state.hosts(),
            peers::updatePeers,
            sender,
            new OtherHostsListener(context, state.engineSelector(), schedulers, permits));
    PublishedStore store =
        platform.store(
            connections.storeClient(),
            settings.storeAddress(),
            new RejectedEntryLog(context)::record);
    ZoneReader zoneReader = new ZoneReader(context, state, sender);
    follower =
        new StoreFollower(
            task -> vertx.runOnContext(unused -> task.run()),
            context.clock(),
            store,
            createStoreStateUpdater(),
            zoneReader,
            random);
    state.setRevisionReader(follower::requestRead);
    quarantine = new QuarantineRunner(context, state, new RequestQuarantine(random), broadcast);
    streamOrigins =
        new StreamOriginExchange(
            context.host(),
            () -> state.hosts().candidates().stream().map(HostRecord::host).toList(),
            state.endpoints(),
            sender::send);
    HostRelay relay = new HostRelay(context, state, random);
    paths = createPaths(sender, broadcast, relay, random);
    forwarder = createForwarder(platform, relay);
    handlers = createHandlers();
    callerServer = createServer(settings.callerAddress(), forwarder::accept);
    readinessServer = createServer(settings.readyAddress(), this::respondReadiness);
  }

  /**
   * The clocks of a host.
   *
   * @param monotonicMillis the monotonic clock, in milliseconds
   * @param wallMillis the wall clock, in milliseconds since 1970; never used to order events
   */
  public record Clocks(LongSupplier monotonicMillis, LongSupplier wallMillis) {}

  private static HostRecord createRecord(ForwardSettings settings, long life, long version) {
    return new HostRecord(
        settings.host(), settings.zone(), settings.region(), life, version, false);
  }

  private PathRunner createPaths(
      PeerSender sender, HostBroadcast broadcast, HostRelay relay, Random random) {
    return new PathRunner(
        context,
        state,
        connections.requestPool(),
        new PathMonitor(random),
        sender,
        broadcast,
        relay,
        this::onPathChange);
  }

  private Forwarder createForwarder(ForwardPlatform platform, HostRelay relay) {
    return new Forwarder(
        context,
        state,
        new Forwarder.Parts(
            platform.headerTranslator(),
            connections.requestPool(),
            paths,
            relay,
            permits,
            quarantine,
            limits,
            departures,
            streamOrigins,
            connections.memory()));
  }

  private PeerNetwork createPeerNetwork(Scheduler scheduler, long incarnation, Random random) {
    ForwardSettings settings = context.settings();
    String address = settings.peerAddress();
    int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    PeerSettings peerSettings =
        new PeerSettings(
            new HostIncarnation(new HostId(settings.host()), incarnation),
            new ZoneId(settings.zone()),
            HostNames.ofAddress(address),
            port,
            settings.peerSecret().getBytes(StandardCharsets.UTF_8),
            Optional.empty(),
            MAXIMUM_FRAME_BYTES,
            PeerSettings.DEFAULT_MAXIMUM_QUEUED_FRAMES,
            LINK_TIMINGS);
    PeerNetwork network =
        new PeerNetwork(
            context.vertx(),
            scheduler,
            peerSettings,
            new MessageCodec(ForwardMessages.registry()),
            new PeerMetrics(context.metrics()),
            random);
    network.acceptUnlistedPeers();
    return network;
  }

  private CallerServer createServer(String address, Consumer<CallerExchange> handler) {
    return new CallerServer(
        context.vertx(),
        address,
        state::forwardLimits,
        context.clock(),
        connections.memory(),
        handler,
        (status, reason) -> context.log().line("refuse", "status", status, "why", reason));
  }

  /** Opens the port of the metrics. Callers are served without it while the port is in use. */
  private Future<Void> openMetrics() {
    int port = context.settings().metricsPort();
    if (port == 0) {
      return Future.succeededFuture();
    }
    String address = HostNames.ofAddress(context.settings().readyAddress()) + ':' + port;
    MetricExposition exposition = new MetricExposition(context.metrics());
    return new OptionalListener(
            context.vertx(),
            () -> listenForMetrics(address, exposition),
            new MetricsPortLog(context.log(), address))
        .open();
  }

  private Future<?> listenForMetrics(String address, MetricExposition exposition) {
    CallerServer server =
        createServer(
            address, exchange -> exchange.respond(200, Optional.empty(), exposition.render()));
    return server.listen().onSuccess(port -> metricsServer = Optional.of(server));
  }

  private void respondReadiness(CallerExchange exchange) {
    boolean pathMatches = exchange.request().uri().startsWith(context.settings().readyPath());
    int status = isReady() ? 200 : 503;
    exchange.respond(
        pathMatches ? status : 404, Optional.empty(), pathMatches ? "ready" : "not found");
  }

  private boolean isReady() {
    return !state.isLeaving() && state.isInitialized();
  }

  /**
   * Starts the host.
   *
   * @return completes when the host listens on all ports; fails if one of them is already in use,
   *     other than the port of the metrics
   */
  public Future<Void> start() {
    return peers
        .start()
        .compose(port -> readinessServer.listen())
        .compose(port -> openMetrics())
        .compose(unused -> callerServer.listen())
        .onSuccess(port -> loop.runOnContext(unused -> startTasks()))
        .mapEmpty();
  }

  private void startTasks() {
    Disposable messages = peers.messages().subscribe(this::onMessage);
    Disposable changes = peers.changes().subscribe(overlay::onLinkChange);
    stopped
        .future()
        .onComplete(
            result -> {
              messages.dispose();
              changes.dispose();
            });
    overlay.tick();
    follower.tick();
    context
        .vertx()
        .setTimer(
            StartupRequestBuffer.MAXIMUM_WAIT_MILLIS, id -> forwarder.releaseBufferedRequests());
    context.vertx().setPeriodic(TICK_INTERVAL_MILLIS, id -> tick());
    context
        .log()
        .line(
            "start",
            "host",
            context.host(),
            "zone",
            context.settings().zone(),
            "seeds",
            String.join(",", context.settings().seeds()),
            "store",
            context.settings().storeAddress());
  }

  private void send(String host, PeerMessage message) {
    peers.send(new HostId(host), message);
  }

  private void onMessage(ReceivedMessage received) {
    handlers.handle(received.sender().host().value(), received.message());
  }

  private MessageHandlers createHandlers() {
    return new MessageHandlers(overlay::receive)
        .on(EngineStatuses.class, (host, received) -> schedulers.receive(received))
        .on(PermitRequest.class, schedulers::submit)
        .on(PermitAnswer.class, permits::onAnswer)
        .on(PermitReturn.class, schedulers::release)
        .on(OpenPermits.class, schedulers::recoverPermits)
        .on(OwnershipQuery.class, schedulers::receive)
        .on(OwnershipAnswer.class, (host, answer) -> schedulers.receive(answer))
        .on(ListingNews.class, (host, news) -> follower.receive(news))
        .on(DeclarationNews.class, follower::receive)
        .on(RequestObservations.class, (host, news) -> quarantine.receive(news))
        .on(EndpointLimitNews.class, (host, news) -> limits.receive(news))
        .on(EndpointDepartureNews.class, (host, news) -> departures.receive(news))
        .on(PathQuery.class, paths::receive)
        .on(PathAnswer.class, paths::receive)
        .on(PathNews.class, (host, news) -> paths.receive(news))
        .on(StreamOriginNews.class, (host, news) -> streamOrigins.receive(news, context.now()))
        .on(
            StreamOriginQuery.class,
            (host, query) -> streamOrigins.receive(host, query, context.now()))
        .on(StreamOriginAnswer.class, (host, answer) -> streamOrigins.receive(answer));
  }

  private void onPathChange(boolean cutOff) {
    if (cutOff) {
      schedulers.relinquishAll("path-lost");
      forwarder.onPathLost();
    }
  }

  private void tick() {
    ticks++;
    overlay.tick();
    schedulers.tick();
    follower.tick();
    streamOrigins.tick(context.now());
    paths.tick();
    if (ticks % TICKS_PER_RELAY == 0) {
      statuses.flush();
    }
    if (ticks % TICKS_PER_STATUS == 0) {
      runPeriodicTasks();
    }
  }

  private void runPeriodicTasks() {
    schedulers.publishStatuses();
    permits.tick();
    quarantine.tick();
    limits.tick();
    departures.tick();
    connections.closeExpired();
    callerServer.closeExpiredConnections();
    readinessServer.closeExpiredConnections();
    metricsServer.ifPresent(CallerServer::closeExpiredConnections);
  }

  /**
   * Applies changed settings. Only the seeds take effect immediately; all other settings take
   * effect at the next start.
   *
   * @param settings the new settings
   */
  public void reload(ForwardSettings settings) {
    loop.runOnContext(unused -> overlay.reload(settings));
  }

  /**
   * Stops the host gracefully. The host immediately reports that it is not ready, closes idle
   * connections once the load balancer no longer sends new requests, and stops when the last
   * response is complete or the time allowed for the stop has elapsed.
   *
   * @return completes when the process may exit
   */
  public Future<Void> stop() {
    loop.runOnContext(unused -> beginStop());
    return stopped.future();
  }

  private void beginStop() {
    context.log().line("stop", "host", context.host(), "running", callerServer.requestsInFlight());
    PlannedStop stop =
        new PlannedStop(context, callerServer, forwarder, TICK_INTERVAL_MILLIS, this::finishStop);
    state.setStopsAt(stop.endAtMillis());
    schedulers.relinquishAll("own-stop");
    callerServer.stop();
    overlay.leave();
    stop.start();
  }

  private void finishStop() {
    if (stopped.tryComplete()) {
      follower.stop();
      int cut = callerServer.unfinishedResponses();
      callerServer.close();
      context.log().line("stopped", "host", context.host(), "cut", cut);
    }
  }

  private StoreStateUpdater createStoreStateUpdater() {
    return new StoreStateUpdater(
        context,
        state,
        schedulers,
        departures,
        connections.endpointPools(),
        this::releaseBufferedRequests);
  }

  private void releaseBufferedRequests() {
    if (state.isInitialized()) {
      forwarder.releaseBufferedRequests();
    }
  }

  /**
   * Returns the counters that a status page shows.
   *
   * @return the counters by name
   */
  public Map<String, Long> counters() {
    Map<String, Long> counters = new TreeMap<>();
    context
        .metrics()
        .getCounters()
        .forEach((name, counter) -> counters.put(name, counter.getCount()));
    counters.put("log.dropped", context.log().dropped());
    return counters;
  }
}
