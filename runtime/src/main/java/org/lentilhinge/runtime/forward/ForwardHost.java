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
import org.lentilhinge.fleet.FleetChange;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.permit.EngineNotice;
import org.lentilhinge.permit.HostBeacon;
import org.lentilhinge.permit.OrderCount;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitAsk;
import org.lentilhinge.permit.PermitEnd;
import org.lentilhinge.runtime.metric.MetricExposition;
import org.lentilhinge.runtime.peer.LinkChange;
import org.lentilhinge.runtime.peer.MessageCodec;
import org.lentilhinge.runtime.peer.PeerAddress;
import org.lentilhinge.runtime.peer.PeerMetrics;
import org.lentilhinge.runtime.peer.PeerNetwork;
import org.lentilhinge.runtime.peer.PeerSettings;
import org.lentilhinge.runtime.peer.PeerTimings;
import org.lentilhinge.runtime.peer.ReceivedMessage;

/** Runs one host of the forwarding path, all on one event loop. */
public final class ForwardHost {

  private static final int CONNECT_MILLIS = 1_000;
  private static final int FRAME_BYTES = 1_048_576;

  /** Waiting requests are looked at this often, in milliseconds. */
  private static final long TICK_MILLIS = 50;

  /** Beacons and notices are sent this often, in milliseconds. */
  private static final long ANNOUNCE_MILLIS = 200;

  /** The balancer sends nothing new after two questions a second apart, in milliseconds. */
  private static final long BALANCER_MILLIS = 2_600;

  /** What is left of a planned stop for the end of the process, in milliseconds. */
  private static final long EXIT_MILLIS = 500;

  /** Numbers of asks begin anywhere in 31 bits and leave 20 bits to count within one life. */
  private static final long NUMBER_MASK = 0x7fffffffL;

  private static final int NUMBER_SHIFT = 20;

  private final HostContext context;
  private final Context loop;
  private final HostState state;
  private final PeerNetwork peers;
  private final PermitClient permits;
  private final EngineDesks desks;
  private final EndpointPool pool;
  private final StoreFollower follower;
  private final Forwarder forwarder;
  private final HttpFront front;
  private final List<HttpFront> operations;
  private final Promise<Void> stopped = Promise.promise();

  /**
   * Makes a host that does not run yet.
   *
   * @param vertx the timers and sockets
   * @param loop the event loop that all parts run on
   * @param scheduler drives the peer links' ticks
   * @param settings the settings
   * @param platform the platform's words and calls
   * @param log takes a line for each decision
   * @param metrics takes the measurements
   * @param clocks the clocks
   * @param random spreads readings and connections
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
    state = new HostState(context);
    pool = new EndpointPool(vertx, CONNECT_MILLIS, clocks.monotonicMillis());
    HttpCaller caller = new HttpCaller(vertx, pool);
    peers = network(scheduler, clocks.wallMillis().getAsLong(), random);
    PeerSender sender = this::send;
    permits = new PermitClient(sender, (random.nextInt() & NUMBER_MASK) << NUMBER_SHIFT);
    desks = new EngineDesks(context, platform.control(caller), sender, state);
    PublishedStore store = platform.store(caller, settings.storeAddress());
    follower = new StoreFollower(vertx, store, new Published(), random);
    forwarder = new Forwarder(context, state, platform.dialect(), pool, permits);
    front = front(settings.callerAddress(), forwarder::take);
    operations = operations(settings);
  }

  /**
   * The clocks of a host.
   *
   * @param monotonicMillis the monotonic clock, in milliseconds
   * @param wallMillis the wall clock, in milliseconds since 1970; never used for order
   */
  public record Clocks(LongSupplier monotonicMillis, LongSupplier wallMillis) {}

  private PeerNetwork network(Scheduler scheduler, long incarnation, Random random) {
    ForwardSettings settings = context.settings();
    String address = settings.peerAddress();
    int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    PeerSettings links =
        new PeerSettings(
            new HostIncarnation(new HostId(settings.host()), incarnation),
            new ZoneId(settings.zone()),
            HostNames.ofAddress(address),
            port,
            settings.peerSecret().getBytes(StandardCharsets.UTF_8),
            Optional.empty(),
            FRAME_BYTES,
            PeerSettings.DEFAULT_MAXIMUM_QUEUED_FRAMES,
            PeerTimings.DEFAULT);
    PeerNetwork network =
        new PeerNetwork(
            context.vertx(),
            scheduler,
            links,
            new MessageCodec(ForwardMessages.registry()),
            new PeerMetrics(context.metrics()),
            random);
    network.takeAnyPeer();
    return network;
  }

  private HttpFront front(String address, Consumer<CallerExchange> handler) {
    return new HttpFront(
        context.vertx(),
        address,
        state::limits,
        context.clock(),
        handler,
        (status, reason) -> context.log().line("refuse", "status", status, "why", reason));
  }

  private List<HttpFront> operations(ForwardSettings settings) {
    HttpFront ready = front(settings.readyAddress(), this::answerReady);
    if (settings.metricsPort() == 0) {
      return List.of(ready);
    }
    MetricExposition exposition = new MetricExposition(context.metrics());
    String address = HostNames.ofAddress(settings.readyAddress()) + ':' + settings.metricsPort();
    return List.of(
        ready,
        front(address, exchange -> exchange.answer(200, Optional.empty(), exposition.render())));
  }

  private void answerReady(CallerExchange exchange) {
    boolean asked = exchange.request().uri().startsWith(context.settings().readyPath());
    int status = isReady() ? 200 : 503;
    exchange.answer(asked ? status : 404, Optional.empty(), asked ? "ready" : "no page");
  }

  private boolean isReady() {
    return !state.isLeaving() && state.isInformed();
  }

  /**
   * Starts the host.
   *
   * @return completes when it listens; fails if a port is taken
   */
  public Future<Void> start() {
    return peers
        .start()
        .compose(port -> Future.all(operations.stream().map(HttpFront::listen).toList()))
        .compose(ports -> front.listen())
        .onSuccess(port -> loop.runOnContext(nothing -> run()))
        .mapEmpty();
  }

  private void run() {
    Disposable messages = peers.messages().subscribe(this::received);
    Disposable changes = peers.changes().subscribe(this::linkChanged);
    stopped
        .future()
        .onComplete(
            result -> {
              messages.dispose();
              changes.dispose();
            });
    namePeers();
    follower.start();
    context.vertx().setTimer(EarlyRequests.WAIT_MILLIS, id -> forwarder.releaseEarly());
    context.vertx().setPeriodic(TICK_MILLIS, id -> tick());
    context.vertx().setPeriodic(ANNOUNCE_MILLIS, id -> announce());
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

  private void namePeers() {
    String own = context.settings().peerAddress();
    int port = Integer.parseInt(own.substring(own.lastIndexOf(':') + 1));
    ZoneId zone = new ZoneId(context.settings().zone());
    peers.peers(
        state.hosts().addresses().stream()
            .map(host -> new PeerAddress(new HostId(host), zone, host, port))
            .toList());
  }

  private void send(String host, PeerMessage message) {
    peers.send(new HostId(host), message);
  }

  private void received(ReceivedMessage received) {
    String host = received.sender().host().value();
    PeerMessage message = received.message();
    if (message instanceof HostBeacon beacon) {
      if (!host.equals(context.host()) && state.hosts().heard(host, beacon, context.now())) {
        context.log().line("host-heard", "host", host, "zone", beacon.zone());
        namePeers();
        beacon();
      }
      if (beacon.leaving()) {
        // Its engines need a new holder; what it still holds it serves to those who asked before.
        state.board().hostGone(host);
      }
    } else if (message instanceof EngineNotice notice) {
      state.board().noted(host, notice, context.now());
      desks.noted(host, notice);
    } else if (message instanceof OrderCount count) {
      desks.counted(count);
    } else if (message instanceof PermitAsk ask) {
      desks.ask(host, ask);
    } else if (message instanceof PermitAnswer answer) {
      permits.answered(host, answer);
    } else if (message instanceof PermitEnd end) {
      desks.ended(host, end);
    }
  }

  private void linkChanged(LinkChange change) {
    String host = change.peer().host().value();
    context.log().line("link", "peer", host, "up", change.up(), "why", change.failure());
    if (change.up()) {
      state.hosts().met(host, context.now());
      beacon();
    } else {
      state.hosts().unlinked(host);
      permits.hostGone(host);
      state.board().hostGone(host);
    }
  }

  private void beacon() {
    ForwardSettings settings = context.settings();
    HostBeacon beacon =
        new HostBeacon(
            settings.zone(), settings.region(), state.isLeaving(), state.hosts().alive());
    state.hosts().addresses().forEach(host -> send(host, beacon));
  }

  private void tick() {
    desks.tick();
  }

  private void announce() {
    for (String host : state.hosts().expire(context.now())) {
      context.log().line("host-silent", "host", host);
      desks.hostGone(host);
      permits.hostGone(host);
      state.board().hostGone(host);
    }
    namePeers();
    beacon();
    desks.announce();
    pool.expire();
    front.expire();
    operations.forEach(HttpFront::expire);
  }

  /**
   * Takes settings that have changed. Seeds take effect; all else does at the next start.
   *
   * @param settings the settings as they are now
   */
  public void reload(ForwardSettings settings) {
    loop.runOnContext(
        nothing -> {
          context.log().line("reload", "seeds", String.join(",", settings.seeds()));
          state.hosts().seeds(settings.seeds().stream().map(HostNames::ofAddress).toList());
          namePeers();
        });
  }

  /**
   * Stops as planned: not ready at once, idle connections closed when the balancer sends nothing
   * more, and the end when the last request is answered or the time is over.
   *
   * @return completes when the process may end
   */
  public Future<Void> stop() {
    loop.runOnContext(nothing -> leave());
    return stopped.future();
  }

  private void leave() {
    context.log().line("stop", "host", context.host(), "running", front.running());
    state.leave();
    desks.giveUp("own-stop");
    front.stop();
    beacon();
    Vertx vertx = context.vertx();
    long end = context.now() + context.settings().bounds().stopMillis() - EXIT_MILLIS;
    vertx.setTimer(
        BALANCER_MILLIS,
        timer -> {
          front.closeIdle(end - context.now());
          vertx.setPeriodic(TICK_MILLIS, id -> finishLeaving(end));
        });
  }

  private void finishLeaving(long endMillis) {
    if (front.running() == 0 || context.now() >= endMillis) {
      if (stopped.tryComplete()) {
        follower.stop();
        front.close();
        context.log().line("stopped", "host", context.host(), "cut", front.running());
      }
    }
  }

  private void releaseEarly() {
    if (state.isInformed()) {
      forwarder.releaseEarly();
    }
  }

  /** Takes what the store has published. */
  private final class Published implements StoreListener {

    private boolean listingLost;

    @Override
    public void listed(EndpointListing listing) {
      if (listingLost) {
        listingLost = false;
        context.log().line("store-regained", "reading", "endpoints");
      }
      state.revision(listing.revision());
      for (FleetChange change : state.endpoints().observe(listing.endpoints(), context.now())) {
        changed(change);
      }
      releaseEarly();
    }

    private void changed(FleetChange change) {
      context
          .log()
          .line(
              "endpoint",
              "id",
              change.endpoint().id(),
              "change",
              change.kind(),
              "service",
              change.endpoint().service(),
              "address",
              change.endpoint().address(),
              "revision",
              change.endpoint().revision());
      if (change.kind() == FleetChange.Kind.GONE) {
        String life = change.endpoint().life();
        desks.forget(life);
        state.board().forget(life);
        state.scores().forget(life);
        pool.forget(change.endpoint().address());
      }
    }

    @Override
    public void declared(Declared declared) {
      state.revision(declared.revision());
      declared.configuration().ifPresent(this::configured);
      for (AdapterRelease release : declared.releases()) {
        if (state.release(release)) {
          context
              .log()
              .line(
                  "adapter-version",
                  "adapter",
                  release.model() + '/' + release.adapter(),
                  "version",
                  release.version());
        }
      }
      releaseEarly();
    }

    private void configured(ForwardConfiguration configuration) {
      if (state.configure(configuration)) {
        context
            .log()
            .line(
                "configuration",
                "version",
                configuration.version(),
                "routes",
                configuration.routes().size(),
                "services",
                configuration.services().size());
      }
    }

    @Override
    public void failed(String reading, String cause) {
      if (!listingLost) {
        listingLost = reading.equals("endpoints");
        context.log().line("store-failed", "reading", reading, "why", cause);
      }
    }
  }

  /**
   * Describes the counters that a status page shows.
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
