package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.lentilhinge.fleet.EndpointDepartures;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.overlay.HostOverlay;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.overlay.RelaySelector;
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
import org.lentilhinge.runtime.peer.LinkChange;
import org.lentilhinge.runtime.peer.LinkFailure;

/**
 * One process of a host in virtual time: the parts of {@link ForwardHost} that decide who owns an
 * engine, on an event loop that may be frozen or starved.
 */
final class SimulatedHost {

  private static final long TICK_MILLIS = 50;
  private static final int TICKS_PER_STATUS = 4;
  private static final long PERMIT_TIMEOUT_MILLIS = 1_000;
  private static final int MINIMUM_STALL_MILLIS = 200;
  private static final int MAXIMUM_STALL_MILLIS = 1_500;

  private final OwnershipSimulation simulation;
  private final Random random;
  private final HostContext context;
  private final HostState state;
  private final OverlayRunner overlay;
  private final StatusExchange statuses;
  private final EngineSchedulers schedulers;
  private final EndpointDepartureRunner departures;
  private final PermitClient permits;
  private final StoreFollower follower;
  private final MessageHandlers handlers;
  private final Set<String> linkedHosts = new HashSet<>();
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private long busyUntilMillis;
  private long starvedUntilMillis;
  private long thawedAtMillis = -1_000_000;
  private boolean ended;
  private long ticks;

  SimulatedHost(
      OwnershipSimulation simulation, ForwardSettings settings, EventLog log, Random random) {
    this.simulation = simulation;
    this.random = random;
    Vertx vertx = VirtualVertx.create(this::execute);
    long clockOffsetMillis = 1_000_000 + random.nextInt(1_000_000);
    context =
        new HostContext(
            vertx, settings, () -> simulation.now() + clockOffsetMillis, log, new MetricRegistry());
    HostRecord self =
        new HostRecord(
            settings.host(),
            settings.zone(),
            settings.region(),
            random.nextLong(),
            1_000_000 + simulation.now(),
            false);
    List<String> seeds = settings.seeds().stream().map(HostNames::ofAddress).toList();
    state = new HostState(context, new HostOverlay(self, seeds, random));
    PeerSender sender = this::send;
    statuses = new StatusExchange(context, state, new StatusRelay(self), sender);
    permits = new PermitClient(sender, context.clock(), (long) random.nextInt(1 << 30) << 20);
    HostBroadcast broadcast = new HostBroadcast(context, state, new RelaySelector(self), sender);
    EndpointLimitRunner limits = new EndpointLimitRunner(context, state, broadcast, sender);
    schedulers =
        new EngineSchedulers(
            context, new SimulatedEngineControl(simulation, this), sender, statuses, state, limits);
    overlay =
        new OverlayRunner(
            context,
            state.hosts(),
            addresses -> {},
            sender,
            new OtherHostsListener(context, state.engineSelector(), schedulers, permits));
    departures =
        new EndpointDepartureRunner(context, state, new EndpointDepartures(random), broadcast);
    follower =
        new StoreFollower(
            task -> execute(0, task),
            context.clock(),
            new SimulatedStore.Client(simulation, this),
            new StoreStateUpdater(context, state, schedulers, departures, List.of(), () -> {}),
            new ZoneReader(context, state, sender),
            random);
    state.setRevisionReader(follower::requestRead);
    handlers = createHandlers();
  }

  /** The only place that decides which part of the host handles a message. */
  private MessageHandlers createHandlers() {
    return new MessageHandlers(overlay::receive)
        .on(EngineStatuses.class, (host, message) -> schedulers.receive(message))
        .on(PermitRequest.class, schedulers::submit)
        .on(PermitAnswer.class, permits::onAnswer)
        .on(PermitReturn.class, schedulers::release)
        .on(OpenPermits.class, schedulers::recoverPermits)
        .on(OwnershipQuery.class, schedulers::receive)
        .on(OwnershipAnswer.class, (host, answer) -> schedulers.receive(answer))
        .on(ListingNews.class, (host, news) -> follower.receive(news))
        .on(DeclarationNews.class, follower::receive);
  }

  String name() {
    return context.host();
  }

  String zone() {
    return context.settings().zone();
  }

  boolean isRunning() {
    return !ended;
  }

  /** Starts the ticks. */
  void start() {
    execute(random.nextInt((int) TICK_MILLIS), this::tick);
  }

  private void tick() {
    execute(TICK_MILLIS + simulation.tickDelayMillis(), this::tick);
    ticks++;
    overlay.tick();
    schedulers.tick();
    follower.tick();
    if (ticks % TICKS_PER_STATUS == 0) {
      statuses.flush();
      schedulers.publishStatuses();
      permits.tick();
      departures.tick();
    }
  }

  private void send(String host, PeerMessage message) {
    linkedHosts.add(host);
    simulation.network().send(this, host, message);
  }

  void handle(String from, PeerMessage message) {
    linkedHosts.add(from);
    handlers.handle(from, message);
  }

  boolean isLinkedTo(String host) {
    return linkedHosts.contains(host);
  }

  void loseLink(String peer, LinkFailure failure) {
    HostIncarnation incarnation = new HostIncarnation(new HostId(peer), 1);
    overlay.onLinkChange(new LinkChange(incarnation, false, failure));
  }

  /** Requests a permit for an adapter of an engine, and uses it for a short time. */
  void request(String engine, String adapter) {
    execute(0, () -> requestNow(engine, adapter));
  }

  private void requestNow(String engineId, String adapter) {
    Optional<FleetEndpoint> engine = state.endpoints().find(engineId);
    if (engine.isEmpty() || state.configuration().isEmpty()) {
      return;
    }
    long permitId = permits.nextPermitId();
    String host = state.schedulerHost(engine.get());
    boolean[] answered = new boolean[1];
    permits.request(
        host,
        new PermitRequest(
            permitId,
            "r",
            engine.get().incarnation(),
            SimulatedEngine.MODEL,
            adapter,
            0,
            100,
            20,
            1,
            PERMIT_TIMEOUT_MILLIS,
            5 * PERMIT_TIMEOUT_MILLIS,
            Optional.empty(),
            Optional.empty()),
        answer -> {
          answered[0] = true;
          if (answer.granted()) {
            execute(
                100 + random.nextInt(400),
                () -> permits.release(host, permitId, PermitReturn.Outcome.DONE, 50));
          }
        });
    execute(
        PERMIT_TIMEOUT_MILLIS,
        () -> {
          if (!answered[0]) {
            permits.release(host, permitId, PermitReturn.Outcome.DONE, 0);
          }
        });
  }

  /** Runs a task on the event loop after a delay, as a timer does. */
  void execute(long delayMillis, Runnable task) {
    simulation.schedule(delayMillis, () -> run(task));
  }

  /** Runs a task on the event loop, now or once the process goes on. */
  void run(Runnable task) {
    long now = simulation.now();
    if (ended) {
      return;
    }
    if (waiting.isEmpty() && now >= busyUntilMillis && now < starvedUntilMillis) {
      int spread = MAXIMUM_STALL_MILLIS - MINIMUM_STALL_MILLIS;
      busyUntilMillis = now + MINIMUM_STALL_MILLIS + random.nextInt(spread);
    }
    if (now < busyUntilMillis) {
      if (waiting.isEmpty()) {
        simulation.schedule(busyUntilMillis - now, this::runWaiting);
      }
      waiting.add(task);
    } else {
      task.run();
    }
  }

  private void runWaiting() {
    long now = simulation.now();
    if (!ended && now < busyUntilMillis) {
      simulation.schedule(busyUntilMillis - now, this::runWaiting);
      return;
    }
    while (!ended && !waiting.isEmpty()) {
      waiting.remove().run();
    }
  }

  void freeze(long millis) {
    busyUntilMillis = Math.max(busyUntilMillis, simulation.now() + millis);
    thawedAtMillis = busyUntilMillis;
  }

  /** Has each event wait for 0.2 to 1.5 s. */
  void starve(long millis) {
    starvedUntilMillis = simulation.now() + millis;
  }

  /** Returns when the latest freeze ends or has ended. */
  long thawedAtMillis() {
    return thawedAtMillis;
  }

  /** Begins a planned stop. */
  void leave(long stopMillis) {
    execute(
        0,
        () -> {
          state.setStopsAt(context.now() + stopMillis);
          schedulers.relinquishAll("own-stop");
          overlay.leave();
        });
  }

  void end() {
    ended = true;
    follower.stop();
    waiting.clear();
  }
}
