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

/** Keeps the desks that this host runs: of engines that it holds, or is the first to hold. */
final class EngineDesks {

  /** The adapters that an engine fetches at once, as its operators publish. */
  private static final int MAXIMUM_LOADS = 4;

  /**
   * Prompts that an engine reads between two tokens of others, of which an event may hold three.
   */
  private static final long BACKLOG_MILLIS = 120;

  /** A part of the engine's memory is left to requests whose answers grow. */
  private static final double MEMORY_PART = 0.9;

  /** A process that stood still for longer may have lost its engines, in milliseconds. */
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

  /** Answers an ask, by a desk that is opened for it if need be. */
  void ask(String host, PermitAsk ask) {
    Optional<HeldEngine> desk = desk(ask.life());
    if (desk.isPresent()) {
      desk.get().ask(host, ask);
    } else {
      peers.send(host, new PermitAnswer(ask.ask(), false, 0, "engine-unknown"));
    }
  }

  void ended(String host, PermitEnd end) {
    List.copyOf(desks.values()).forEach(desk -> desk.ended(host, end));
  }

  void hostGone(String host) {
    List.copyOf(desks.values()).forEach(desk -> desk.hostGone(host));
  }

  void noted(String host, EngineNotice notice) {
    HeldEngine own = desks.get(notice.life());
    if (own != null && notice.holding()) {
      own.heldElsewhere(host);
      if (!own.isBusy()) {
        close(notice.life());
      }
    }
  }

  /** Takes another host's count of an engine's orders. */
  void counted(OrderCount count) {
    counts.seen(count.life(), count.orders(), context.now() - count.stillMillis());
  }

  private Optional<HeldEngine> desk(String life) {
    HeldEngine open = desks.get(life);
    if (open != null) {
      return Optional.of(open);
    }
    return state.endpoints().all().stream()
        .filter(engine -> engine.life().equals(life))
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
    EngineDesk desk =
        new EngineDesk(
            settings, model, !engine.models().isEmpty(), DeskSettings.FIRST_TOKENS_PER_MILLI);
    HeldEngine held = new HeldEngine(context, control, peers, state, engine, desk, counts);
    desks.put(engine.life(), held);
    return Optional.of(held);
  }

  /** Opens the desks of the engines that this host is the first to hold, and moves all on. */
  void tick() {
    long now = context.now();
    if (tickedMillis > 0 && now - tickedMillis > PAUSE_MILLIS) {
      context.log().line("paused", "ms", now - tickedMillis);
      giveUp("own-pause");
    }
    tickedMillis = now;
    for (FleetEndpoint engine : state.endpoints().all()) {
      boolean mine =
          state.endpoints().isUsable(engine)
              && state.service(engine.service()).flatMap(service -> service.engine()).isPresent()
              && state.desk(engine).equals(context.host());
      if (mine) {
        desk(engine.life());
      }
    }
    List.copyOf(desks.values()).forEach(HeldEngine::tick);
  }

  /** Gives up all engines; their resident adapters are served on. */
  void giveUp(String reason) {
    for (HeldEngine desk : List.copyOf(desks.values())) {
      desk.giveUp(reason);
      desk.announceCount();
    }
  }

  /** Tells all hosts how the engines of this host's desks stand. */
  void announce() {
    if (state.isLeaving()) {
      return;
    }
    long now = context.now();
    for (HeldEngine desk : desks.values()) {
      EngineNotice notice = desk.notice();
      state.board().noted(context.host(), notice, now);
      if (desk.isHolding() || state.desk(desk.engine()).equals(context.host())) {
        state.hosts().alive().forEach(host -> peers.send(host, notice));
        desk.announceCount();
      }
    }
  }

  /** Forgets an engine that is gone. */
  void forget(String life) {
    close(life);
    counts.forget(life);
  }

  private void close(String life) {
    HeldEngine desk = desks.remove(life);
    if (desk != null) {
      desk.close();
    }
  }
}
