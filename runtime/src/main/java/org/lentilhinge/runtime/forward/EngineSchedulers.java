package org.lentilhinge.runtime.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.EngineCapacity;
import org.lentilhinge.overlay.KnownHost;
import org.lentilhinge.permit.EndedPermits;
import org.lentilhinge.permit.EngineScheduler;
import org.lentilhinge.permit.EngineStatus;
import org.lentilhinge.permit.EngineStatuses;
import org.lentilhinge.permit.OpenPermits;
import org.lentilhinge.permit.OrderCount;
import org.lentilhinge.permit.OrderCounts;
import org.lentilhinge.permit.OwnerStatuses;
import org.lentilhinge.permit.OwnershipAnswer;
import org.lentilhinge.permit.OwnershipClaim;
import org.lentilhinge.permit.OwnershipObjection;
import org.lentilhinge.permit.OwnershipQuery;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitReturn;
import org.lentilhinge.permit.SchedulerSettings;

/**
 * Manages the engine schedulers that this host runs: those of the engines that the host owns and of
 * the engines for which the host ranks first as owner.
 */
final class EngineSchedulers {

  /** The number of concurrent adapter loads of an engine, as published by its operators. */
  private static final int MAXIMUM_CONCURRENT_LOADS = 4;

  /**
   * The maximum prefill backlog of an engine, in milliseconds. The engine runs prefill between two
   * output tokens of other requests, and one event may contain three tokens.
   */
  private static final long MAXIMUM_PREFILL_MILLIS = 120;

  /**
   * The longest gap between two ticks after which this host still relies on its ownership, in
   * milliseconds. During a longer pause of the process other hosts may have taken over.
   */
  static final long MAXIMUM_TICK_GAP_MILLIS = 1_000;

  /**
   * The time after the start for which a host that knows no other host does not take itself for the
   * only one, in milliseconds. Otherwise all hosts that start together would open connections to
   * all engines.
   */
  private static final long JOINING_MILLIS = 1_500;

  /**
   * The number of ticks between two checks which engines this host has to schedule. The check looks
   * at all engines.
   */
  private static final int TICKS_PER_CHECK = 4;

  /** The time without a claim after which further hosts schedule an engine, in milliseconds. */
  private static final long UNOWNED_MILLIS = 5_000;

  /** The number of hosts that schedule an engine in place of the first-ranked one. */
  private static final int SUBSTITUTES = 2;

  private final HostContext context;
  private final EngineControl control;
  private final PeerSender peers;
  private final StatusExchange statuses;
  private final HostState state;
  private final EndpointLimitRunner limits;
  private final AheadLoader aheadLoader;
  private final Map<String, OwnedEngineRunner> runners = new HashMap<>();
  private final OrderCounts counts = new OrderCounts();
  private final Map<String, Long> engineKnownSinceMillis = new HashMap<>();
  private final List<Runnable> deferredAnswers = new ArrayList<>();
  private final long createdAtMillis;
  private long lastTickAtMillis;
  private long ticks;

  EngineSchedulers(
      HostContext context,
      EngineControl control,
      PeerSender peers,
      StatusExchange statuses,
      HostState state,
      EndpointLimitRunner limits) {
    this.context = context;
    this.control = control;
    this.peers = peers;
    this.statuses = statuses;
    this.state = state;
    this.limits = limits;
    this.aheadLoader = new AheadLoader(state);
    this.createdAtMillis = context.now();
  }

  /**
   * Passes a permit request to the engine's scheduler, which is created if necessary, or to the
   * pacing of a plain endpoint.
   */
  void submit(String host, PermitRequest request) {
    limits.learn(host, request);
    Optional<OwnedEngineRunner> runner = findOrCreateRunner(request.incarnation());
    if (runner.isPresent()) {
      runner.get().submit(host, request);
    } else if (isPlainEndpoint(request.incarnation())) {
      limits.submit(host, request);
    } else {
      peers.send(host, new PermitAnswer(request.permitId(), false, 0, "engine-unknown"));
    }
  }

  private boolean isPlainEndpoint(String incarnation) {
    return state
        .endpoints()
        .findIncarnation(incarnation)
        .flatMap(endpoint -> state.service(endpoint.service()))
        .filter(service -> service.engine().isEmpty())
        .isPresent();
  }

  void release(String host, PermitReturn permitReturn) {
    List.copyOf(runners.values()).forEach(runner -> runner.release(host, permitReturn));
    limits.release(host, permitReturn);
  }

  /** Recovers the permits whose return was lost, by the statement of the host that had them. */
  void recoverPermits(String host, OpenPermits open) {
    recoverPermits(EndedPermits.notStated(host, open), "not-stated:" + host);
  }

  private void recoverPermits(EndedPermits ended, String reason) {
    List.copyOf(runners.values()).forEach(runner -> runner.recoverPermits(ended, reason));
  }

  void removeHost(String host) {
    recoverPermits(EndedPermits.ofHost(host), "host-ended:" + host);
    limits.removeHost(host);
  }

  /** Handles statuses and order counts that other hosts sent or that this host has to pass on. */
  void receive(EngineStatuses received) {
    long now = context.now();
    for (OwnerStatuses owner : received.owners()) {
      owner.counts().forEach(this::recordOrderCount);
      if (!owner.host().equals(context.host())) {
        owner.use().ifPresent(use -> state.quotas().receive(owner.host(), use));
        for (EngineStatus status : owner.statuses()) {
          state.engineSelector().updateStatus(owner.host(), status, now);
          updateStatus(owner.host(), status);
        }
      }
    }
    statuses.receive(received);
  }

  private void updateStatus(String host, EngineStatus status) {
    OwnedEngineRunner runner = runners.get(status.incarnation());
    if (runner != null && status.owned()) {
      runner.recordOtherOwner(host, status.fencingToken());
      if (!runner.isOwner() && !runner.isBusy()) {
        close(status.incarnation());
      }
    }
  }

  /**
   * Answers another host that is about to take an engine over or has to confirm its ownership, or
   * passes its query on.
   */
  void receive(String from, OwnershipQuery query) {
    if (!query.target().equals(context.host())) {
      if (from.equals(query.asker())) {
        peers.send(query.target(), query);
      }
      return;
    }
    if (context.now() - lastTickAtMillis > MAXIMUM_TICK_GAP_MILLIS) {
      // After a pause this host has not yet read what arrived meanwhile, nor given up its engines.
      deferredAnswers.add(() -> answer(from, query));
    } else {
      answer(from, query);
    }
  }

  private void answer(String from, OwnershipQuery query) {
    relinquishOlderIncarnations(query.incarnation());
    Optional<OwnershipObjection> objection = objectTo(query);
    boolean sameHosts = query.hostsDigest() == state.candidatesDigest();
    List<KnownHost> hosts = sameHosts ? List.of() : state.knownHosts();
    peers.send(
        from,
        new OwnershipAnswer(
            query.asker(),
            context.host(),
            query.incarnation(),
            query.round(),
            objection,
            state.engineSelector().claims().highestToken(query.incarnation()),
            hosts));
  }

  private Optional<OwnershipObjection> objectTo(OwnershipQuery query) {
    return Optional.ofNullable(runners.get(query.incarnation()))
        .flatMap(runner -> runner.objectTo(query.asker(), query.fencingToken()))
        .or(
            () ->
                state.ownershipObjection(query.incarnation(), query.asker(), query.fencingToken()));
  }

  /** Relinquishes what has ended if an engine with the same id was started later. */
  private void relinquishOlderIncarnations(String incarnation) {
    String prefix = incarnation.substring(0, incarnation.lastIndexOf('/') + 1);
    long startedAtMillis = Long.parseLong(incarnation.substring(prefix.length()));
    for (OwnedEngineRunner runner : List.copyOf(runners.values())) {
      FleetEndpoint engine = runner.engine();
      if (runner.isOwner()
          && engine.incarnation().startsWith(prefix)
          && engine.startedAtMillis() < startedAtMillis) {
        runner.relinquish("newer-incarnation");
      }
    }
  }

  /** Handles the answer of another host to this host's query, or passes it on. */
  void receive(OwnershipAnswer answer) {
    if (!answer.asker().equals(context.host())) {
      peers.send(answer.asker(), answer);
    } else if (runners.containsKey(answer.incarnation())) {
      runners.get(answer.incarnation()).receive(answer);
    }
  }

  /** Records the order count of an engine as reported by another host. */
  private void recordOrderCount(OrderCount count) {
    long now = context.now();
    String incarnation = count.incarnation();
    if (counts.recordCount(incarnation, count.acceptedOrders(), now - count.unchangedMillis())) {
      state.engineSelector().claims().recordOrders(incarnation, now);
    }
  }

  private Optional<OwnedEngineRunner> findOrCreateRunner(String incarnation) {
    OwnedEngineRunner existing = runners.get(incarnation);
    if (existing != null) {
      return Optional.of(existing);
    }
    return state.endpoints().findIncarnation(incarnation).flatMap(this::createRunner);
  }

  private Optional<OwnedEngineRunner> createRunner(FleetEndpoint engine) {
    Optional<EngineCapacity> capacity =
        state.service(engine.service()).flatMap(service -> service.engine());
    if (capacity.isEmpty()) {
      return Optional.empty();
    }
    SchedulerSettings settings =
        new SchedulerSettings(
            capacity.get().batchSlots(),
            (int) (capacity.get().memoryTokens() * SchedulerSettings.USABLE_MEMORY_FRACTION),
            capacity.get().adapterSlots(),
            MAXIMUM_CONCURRENT_LOADS,
            MAXIMUM_PREFILL_MILLIS);
    String model =
        engine.models().stream()
            .findFirst()
            .or(() -> capacity.get().models().stream().findFirst())
            .orElse("");
    EngineScheduler scheduler =
        new EngineScheduler(
            settings,
            model,
            !engine.models().isEmpty(),
            SchedulerSettings.INITIAL_TOKENS_PER_MILLISECOND,
            state.limits().rate(engine.incarnation(), context.now()));
    OwnedEngineRunner runner =
        new OwnedEngineRunner(context, control, peers, statuses, state, engine, scheduler, counts);
    runners.put(engine.incarnation(), runner);
    return Optional.of(runner);
  }

  /**
   * Creates the schedulers of the engines that this host has to schedule, and runs the
   * time-dependent work of all schedulers.
   */
  void tick() {
    long now = context.now();
    if (lastTickAtMillis > 0 && now - lastTickAtMillis > MAXIMUM_TICK_GAP_MILLIS) {
      context.log().line("paused", "ms", now - lastTickAtMillis);
      relinquishAll("own-pause");
    }
    state.recordTickGap(lastTickAtMillis > 0 ? now - lastTickAtMillis : 0);
    lastTickAtMillis = now;
    if (ticks++ % TICKS_PER_CHECK == 0) {
      createResponsibleRunners(now);
    }
    List.copyOf(runners.values()).forEach(OwnedEngineRunner::tick);
    List<Runnable> answers = List.copyOf(deferredAnswers);
    deferredAnswers.clear();
    answers.forEach(Runnable::run);
  }

  private void createResponsibleRunners(long now) {
    boolean joining = now - createdAtMillis < JOINING_MILLIS && state.hosts().liveHosts().isEmpty();
    for (FleetEndpoint engine : state.endpoints().all()) {
      boolean responsible =
          !joining
              && state.endpoints().isUsable(engine)
              && state.service(engine.service()).flatMap(service -> service.engine()).isPresent()
              && (state.schedulerHost(engine).equals(context.host()) || isSubstitute(engine, now));
      if (responsible) {
        findOrCreateRunner(engine.incarnation());
      }
    }
  }

  /**
   * Indicates whether this host has to take the place of the first-ranked one, which may not reach
   * the engine or the store.
   */
  private boolean isSubstitute(FleetEndpoint engine, long now) {
    String incarnation = engine.incarnation();
    long knownSinceMillis = engineKnownSinceMillis.computeIfAbsent(incarnation, unused -> now);
    long claimedAtMillis =
        state
            .engineSelector()
            .claims()
            .latestElsewhere(incarnation, "")
            .map(OwnershipClaim::heardAtMillis)
            .orElse(knownSinceMillis);
    int rank = state.ownerRanking(engine).indexOf(context.host());
    return rank > 0 && rank <= SUBSTITUTES && now - claimedAtMillis > UNOWNED_MILLIS;
  }

  /** Relinquishes all engines. Requests for their resident adapters are still served. */
  void relinquishAll(String reason) {
    List<OrderCount> orderCounts = new ArrayList<>();
    for (OwnedEngineRunner runner : List.copyOf(runners.values())) {
      runner.relinquish(reason);
      runner.orderCount().ifPresent(orderCounts::add);
    }
    statuses.publish(List.of(), orderCounts);
  }

  /** Sends the status of this host's engines to all hosts. */
  void publishStatuses() {
    if (state.isLeaving()) {
      // The last requests of this host still count.
      statuses.publishAll(List.of(), List.of());
      return;
    }
    long now = context.now();
    List<EngineStatus> published = new ArrayList<>();
    List<OrderCount> orderCounts = new ArrayList<>();
    for (OwnedEngineRunner runner : runners.values()) {
      EngineStatus status = runner.status();
      state.engineSelector().updateStatus(context.host(), status, now);
      if (runner.isOwner() || state.schedulerHost(runner.engine()).equals(context.host())) {
        published.add(status);
        runner.orderCount().ifPresent(orderCounts::add);
      }
    }
    statuses.publishAll(published, orderCounts);
    aheadLoader.load(List.copyOf(runners.values()), now);
  }

  /** Removes an engine that is no longer registered. */
  void removeEngine(String incarnation) {
    close(incarnation);
    engineKnownSinceMillis.remove(incarnation);
    counts.removeEngine(incarnation);
  }

  private void close(String incarnation) {
    OwnedEngineRunner runner = runners.remove(incarnation);
    if (runner != null) {
      runner.close();
    }
  }
}
