package org.lentilhinge.runtime.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.EngineTraits;
import org.lentilhinge.permit.DeskSettings;
import org.lentilhinge.permit.EngineDesk;
import org.lentilhinge.permit.EngineNotice;
import org.lentilhinge.permit.OrderCount;
import org.lentilhinge.permit.OrderCounts;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitAsk;
import org.lentilhinge.permit.PermitEnd;

/**
 * Manages the engine schedulers that this host runs: those of the engines that it owns, and of the
 * engines for which it ranks first as owner.
 */
final class EngineDesks {

  /** The number of concurrent adapter loads of an engine, as published by its operators. */
  private static final int MAXIMUM_LOADS = 4;

  /**
   * The maximum prefill backlog of an engine, in milliseconds. The engine runs prefill between two
   * output tokens of other requests, and one event may contain three tokens.
   */
  private static final long BACKLOG_MILLIS = 120;

  /** The usable fraction of an engine's memory; the rest is left for growing responses. */
  private static final double MEMORY_PART = 0.9;

  /**
   * The longest gap between two ticks after which this host still relies on its ownership, in
   * milliseconds. During a longer pause of the process other hosts may have taken over.
   */
  private static final long PAUSE_MILLIS = 1_000;

  private final HostContext context;
  private final EngineControl control;
  private final PeerSender peers;
  private final HostState state;
  private final Map<String, HeldEngine> desks = new HashMap<>();
  private final OrderCounts counts = new OrderCounts();
  private long tickedMillis;

  EngineDesks(HostContext context, EngineControl control, PeerSender peers, HostState state) {
    this.context = context;
    this.control = control;
    this.peers = peers;
    this.state = state;
  }

  /** Passes a permit request to the engine's scheduler, which is created if necessary. */
  void ask(String host, PermitAsk request) {
    Optional<HeldEngine> runner = desk(request.life());
    if (runner.isPresent()) {
      runner.get().ask(host, request);
    } else {
      peers.send(host, new PermitAnswer(request.ask(), false, 0, "engine-unknown"));
    }
  }

  void ended(String host, PermitEnd release) {
    List.copyOf(desks.values()).forEach(runner -> runner.ended(host, release));
  }

  void hostGone(String host) {
    List.copyOf(desks.values()).forEach(runner -> runner.hostGone(host));
  }

  void noted(String host, EngineNotice status) {
    HeldEngine local = desks.get(status.life());
    if (local != null && status.holding()) {
      local.heldElsewhere(host);
      if (!local.isBusy()) {
        close(status.life());
      }
    }
  }

  /** Records the order count of an engine as reported by another host. */
  void counted(OrderCount count) {
    counts.seen(count.life(), count.orders(), context.now() - count.stillMillis());
  }

  private Optional<HeldEngine> desk(String incarnation) {
    HeldEngine existing = desks.get(incarnation);
    if (existing != null) {
      return Optional.of(existing);
    }
    return state.endpoints().all().stream()
        .filter(engine -> engine.life().equals(incarnation))
        .findFirst()
        .flatMap(this::open);
  }

  private Optional<HeldEngine> open(FleetEndpoint engine) {
    Optional<EngineTraits> traits =
        state.service(engine.service()).flatMap(service -> service.engine());
    if (traits.isEmpty()) {
      return Optional.empty();
    }
    DeskSettings settings =
        new DeskSettings(
            traits.get().batchSlots(),
            (int) (traits.get().memoryTokens() * MEMORY_PART),
            traits.get().adapterSlots(),
            MAXIMUM_LOADS,
            BACKLOG_MILLIS);
    String model =
        engine.models().stream()
            .findFirst()
            .or(() -> traits.get().models().stream().findFirst())
            .orElse("");
    EngineDesk scheduler =
        new EngineDesk(
            settings, model, !engine.models().isEmpty(), DeskSettings.FIRST_TOKENS_PER_MILLI);
    HeldEngine runner = new HeldEngine(context, control, peers, state, engine, scheduler, counts);
    desks.put(engine.life(), runner);
    return Optional.of(runner);
  }

  /**
   * Creates the schedulers of the engines for which this host ranks first as owner, and runs the
   * time-dependent work of all schedulers.
   */
  void tick() {
    long now = context.now();
    if (tickedMillis > 0 && now - tickedMillis > PAUSE_MILLIS) {
      context.log().line("paused", "ms", now - tickedMillis);
      giveUp("own-pause");
    }
    tickedMillis = now;
    for (FleetEndpoint engine : state.endpoints().all()) {
      boolean responsible =
          state.endpoints().isUsable(engine)
              && state.service(engine.service()).flatMap(service -> service.engine()).isPresent()
              && state.desk(engine).equals(context.host());
      if (responsible) {
        desk(engine.life());
      }
    }
    List.copyOf(desks.values()).forEach(HeldEngine::tick);
  }

  /** Relinquishes all engines. Requests for their resident adapters are still served. */
  void giveUp(String reason) {
    for (HeldEngine runner : List.copyOf(desks.values())) {
      runner.giveUp(reason);
      runner.announceCount();
    }
  }

  /** Sends the status of this host's engines to all hosts. */
  void announce() {
    if (state.isLeaving()) {
      return;
    }
    long now = context.now();
    for (HeldEngine runner : desks.values()) {
      EngineNotice status = runner.notice();
      state.board().noted(context.host(), status, now);
      if (runner.isHolding() || state.desk(runner.engine()).equals(context.host())) {
        state.hosts().alive().forEach(host -> peers.send(host, status));
        runner.announceCount();
      }
    }
  }

  /** Removes an engine that is no longer registered. */
  void forget(String incarnation) {
    close(incarnation);
    counts.forget(incarnation);
  }

  private void close(String incarnation) {
    HeldEngine runner = desks.remove(incarnation);
    if (runner != null) {
      runner.close();
    }
  }
}
