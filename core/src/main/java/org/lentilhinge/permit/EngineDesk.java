package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides for one life of an engine which requests may be sent, which wait and which are refused,
 * and which adapters are loaded and unloaded for them. Requests for an adapter that is there run at
 * once; the others wait for a slot, the most urgent that can still be on time first.
 */
public final class EngineDesk {

  /** The time that a lone request for an absent adapter waits before a used one is closed. */
  private static final long CLOSE_AFTER_MILLIS = 150;

  /** The same while several wait: the slots are short, and used adapters serve most requests. */
  private static final long CLOSE_AFTER_WHEN_SHORT_MILLIS = 600;

  /** After this part of its aim a request cannot be on time any more: it is told to come back. */
  private static final double PATIENCE = 0.85;

  /** The time that a request needs at the engine beyond its wait, before its deadline. */
  private static final long LEAST_RUN_MILLIS = 300;

  private static final long LEAST_RETRY_MILLIS = 100;

  /** An engine that was not reached is not asked of again for this time, in milliseconds. */
  private static final long UNREACHABLE_MILLIS = 1_000;

  /** What a first event takes beyond waiting and reading, in milliseconds. */
  private static final long FIRST_EVENT_MILLIS = 60;

  private static final String UNREACHABLE = "engine-unreachable";
  private static final String NO_HOLDER = "no-holder";

  private final DeskSettings settings;
  private final String model;
  private final AdapterSlots slots;
  private final AdapterDemand demand = new AdapterDemand();
  private final PromptBacklog backlog;
  private final SlotTurnover turnover = new SlotTurnover();
  private final RequestQueue waiting = new RequestQueue();
  private final RunningRequests running = new RunningRequests();
  private final ClosedAdapter closed = new ClosedAdapter();
  private long unreachableUntilMillis;
  private boolean unread;
  private boolean modelPresent;
  private boolean modelOrdered;
  private boolean ordering;
  private long orderingInMillis = LEAST_RETRY_MILLIS;

  /** The slots that become free for adapters that wait, and are not counted on by one yet. */
  private int unclaimedSlots;

  /**
   * Opens a desk.
   *
   * @param settings the engine's bounds
   * @param model the base model that the engine serves
   * @param modelPresent whether the engine holds the model
   * @param promptTokensPerMilli the tokens of prompts that the engine reads in a millisecond
   */
  public EngineDesk(
      DeskSettings settings, String model, boolean modelPresent, double promptTokensPerMilli) {
    this.settings = settings;
    this.model = model;
    this.modelPresent = modelPresent;
    this.slots = new AdapterSlots(settings.adapterSlots());
    this.backlog = new PromptBacklog(promptTokensPerMilli);
  }

  /** Lets all asks wait for the engine's first report: what it holds is not known before. */
  public void awaitReport() {
    unread = true;
  }

  /**
   * Takes what the engine says that it holds. Adapters that it does not name are gone, unless they
   * are on their way.
   *
   * @param holdsModel whether it holds the base model
   * @param adapters the versions of the adapters that are there, by name
   * @param coming the versions of the adapters that are on their way, by name
   * @param nowMillis the time
   */
  public void reported(
      boolean holdsModel, Map<String, Long> adapters, Map<String, Long> coming, long nowMillis) {
    unread = false;
    modelPresent = holdsModel;
    slots.clear();
    adapters.forEach(
        (name, version) -> slots.put(name, version, AdapterSlot.State.RESIDENT, nowMillis));
    coming.forEach(
        (name, version) -> slots.put(name, version, AdapterSlot.State.LOADING, nowMillis));
    for (RunningRequests.Running run : running.all()) {
      slots.find(run.ask().adapter()).ifPresent(slot -> slot.users++);
    }
  }

  /**
   * Tells whether this host may order the engine. Without that, adapters that are there are served
   * and nothing is loaded.
   *
   * @param allowed whether orders can be carried out
   */
  public void ordering(boolean allowed) {
    ordering = allowed;
  }

  /**
   * Tells when this host may be able to order the engine.
   *
   * @param millis the time until then, in milliseconds
   */
  public void orderingIn(long millis) {
    orderingInMillis = Math.max(LEAST_RETRY_MILLIS, millis);
  }

  /**
   * Notes that the engine did not answer: nothing is sent to it until it does, or for a while.
   *
   * @param nowMillis the time
   * @return refusals for all that wait
   */
  public List<DeskCommand> unreachable(long nowMillis) {
    unread = false;
    unreachableUntilMillis = nowMillis + UNREACHABLE_MILLIS;
    List<DeskCommand> commands = new ArrayList<>();
    for (WaitingRequest one : waiting.all()) {
      commands.add(refusal(one, UNREACHABLE_MILLIS, UNREACHABLE, nowMillis));
    }
    waiting.clear();
    return commands;
  }

  /** Notes that the engine answered. */
  public void reachable() {
    unreachableUntilMillis = 0;
  }

  /**
   * Tells whether the engine did not answer lately.
   *
   * @param nowMillis the time
   * @return whether nothing is sent to it
   */
  public boolean isUnreachable(long nowMillis) {
    return nowMillis < unreachableUntilMillis;
  }

  /**
   * Takes an ask.
   *
   * @param host the host that asks
   * @param ask the ask
   * @param nowMillis the time
   * @return a refusal if it is certain already, or what follows
   */
  public List<DeskCommand> ask(String host, PermitAsk ask, long nowMillis) {
    demand.asked(ask.adapter(), nowMillis);
    if (isUnreachable(nowMillis)) {
      return List.of(refusal(host, ask, UNREACHABLE_MILLIS, UNREACHABLE, 0));
    }
    if (!unread && lacksHolder(ask)) {
      return List.of(refusal(host, ask, orderingInMillis, NO_HOLDER, 0));
    }
    long expected = expectedWaitMillis(ask, nowMillis);
    long first = expected + backlog.readingMillis(ask.promptTokens()) + FIRST_EVENT_MILLIS;
    if (first > ask.aimMillis() && expected > LEAST_RUN_MILLIS) {
      return List.of(refusal(host, ask, expected, "no-room", 0));
    }
    int ahead = needsSlot(ask) ? waiting.slotsWanted(slots) : WaitingRequest.NO_SLOT;
    waiting.add(new WaitingRequest(host, ask, nowMillis, ahead));
    return decide(nowMillis);
  }

  /** Tells whether a request needs an order that nobody may give now. */
  private boolean lacksHolder(PermitAsk ask) {
    boolean there = ask.adapter().isEmpty() || slots.isResident(ask.adapter(), ask.version());
    return !ordering && !(there && modelPresent);
  }

  private long expectedWaitMillis(PermitAsk ask, long nowMillis) {
    long reading = Math.max(0, readingMillis(nowMillis) - settings.backlogMillis());
    return needsSlot(ask)
        ? Math.max(reading, turnover.waitMillis(waiting.slotsWanted(slots)))
        : reading;
  }

  /** Adds what waits here to what the engine is still reading. */
  private long readingMillis(long nowMillis) {
    return backlog.millis(nowMillis) + backlog.readingMillis(waiting.promptTokens());
  }

  private boolean needsSlot(PermitAsk ask) {
    return !ask.adapter().isEmpty()
        && slots.find(ask.adapter()).isEmpty()
        && slots.available() == 0
        && !waiting.hasAdapter(ask.adapter());
  }

  /**
   * Takes a permit back, or withdraws an ask.
   *
   * @param host the host that had asked
   * @param end how it ended
   * @param nowMillis the time
   * @return what follows
   */
  public List<DeskCommand> ended(String host, PermitEnd end, long nowMillis) {
    String key = WaitingRequest.key(host, end.ask());
    waiting.remove(key);
    Optional<RunningRequests.Running> ended = running.remove(key);
    if (ended.isEmpty()) {
      return decide(nowMillis);
    }
    RunningRequests.Running run = ended.get();
    if (end.firstMillis() > 0) {
      backlog.observed(run.readMillis(), end.firstMillis());
    }
    Optional<AdapterSlot> slot = slots.find(run.ask().adapter());
    slot.ifPresent(
        found -> {
          found.users = Math.max(0, found.users - 1);
          found.usedMillis = nowMillis;
        });
    if (end.ending() == PermitEnd.Ending.UNREACHABLE) {
      return unreachable(nowMillis);
    }
    if (end.ending() == PermitEnd.Ending.ABSENT && run.ask().adapter().isEmpty()) {
      modelPresent = false;
    } else if (end.ending() == PermitEnd.Ending.ABSENT) {
      return reload(run.ask(), slot, nowMillis);
    }
    return decide(nowMillis);
  }

  /** Orders an adapter anew that the engine said it lacks; its slot counts as taken meanwhile. */
  private List<DeskCommand> reload(PermitAsk ask, Optional<AdapterSlot> slot, long nowMillis) {
    List<DeskCommand> commands = new ArrayList<>();
    if (ordering && slot.isPresent() && slot.get().state == AdapterSlot.State.RESIDENT) {
      load(ask, "said-absent", nowMillis, commands);
    }
    commands.addAll(decide(nowMillis));
    return commands;
  }

  /**
   * Forgets the asks and permits of a host that is gone.
   *
   * @param host the host
   * @param nowMillis the time
   * @return what follows
   */
  public List<DeskCommand> hostGone(String host, long nowMillis) {
    waiting.removeHost(host);
    List<DeskCommand> commands = new ArrayList<>();
    for (RunningRequests.Running run : running.all()) {
      if (run.host().equals(host)) {
        PermitEnd end = new PermitEnd(run.ask().ask(), PermitEnd.Ending.DONE, 0);
        commands.addAll(ended(host, end, nowMillis));
      }
    }
    return commands;
  }

  /**
   * Notes that an order was carried out or has failed.
   *
   * @param order the order
   * @param done whether it was carried out
   * @param nowMillis the time
   * @return what follows
   */
  public List<DeskCommand> ordered(AdapterOrder order, boolean done, long nowMillis) {
    if (order.adapter().isEmpty()) {
      modelOrdered = false;
      modelPresent |= done;
      return decide(nowMillis);
    }
    Optional<AdapterSlot> slot = slots.find(order.adapter());
    if (order.load() && done) {
      slot.ifPresent(
          found -> {
            found.state = AdapterSlot.State.RESIDENT;
            found.version = Math.max(found.version, order.version());
            found.changedMillis = nowMillis;
            found.usedMillis = nowMillis;
          });
    } else if (order.load() || done) {
      slots.remove(order.adapter());
    } else {
      slot.ifPresent(found -> found.state = AdapterSlot.State.RESIDENT);
    }
    return decide(nowMillis);
  }

  /**
   * Decides what can be decided now.
   *
   * @param nowMillis the time
   * @return what has to be done, in this order
   */
  public List<DeskCommand> decide(long nowMillis) {
    List<DeskCommand> commands = new ArrayList<>();
    giveUp(nowMillis, commands);
    if (unread) {
      return commands;
    }
    if (!modelPresent) {
      orderModel(commands);
      return commands;
    }
    Set<String> wanted = waiting.adapters();
    unclaimedSlots = slots.unloading();
    for (WaitingRequest one : waiting.byUrgency(nowMillis)) {
      decide(one, wanted, nowMillis, commands);
    }
    return commands;
  }

  private void orderModel(List<DeskCommand> commands) {
    if (ordering && !modelOrdered && !waiting.isEmpty()) {
      modelOrdered = true;
      commands.add(new DeskCommand.Order(new AdapterOrder(true, model, "", 0), "model-absent"));
    }
  }

  private void decide(
      WaitingRequest one, Set<String> wanted, long nowMillis, List<DeskCommand> commands) {
    PermitAsk ask = one.ask();
    Optional<AdapterSlot> slot = slots.find(ask.adapter());
    if (ask.adapter().isEmpty()) {
      grant(one, Optional.empty(), nowMillis, commands);
    } else if (slot.isEmpty()) {
      makeRoom(one, wanted, nowMillis, commands);
    } else if (slot.get().state == AdapterSlot.State.RESIDENT) {
      if (ordering && slot.get().version < ask.version()) {
        load(ask, "version-announced", nowMillis, commands);
      } else if (slot.get().version >= ask.version() && !closed.is(ask.adapter())) {
        grant(one, slot, nowMillis, commands);
      }
    }
  }

  private void grant(
      WaitingRequest one, Optional<AdapterSlot> slot, long nowMillis, List<DeskCommand> commands) {
    boolean fits =
        running.fits(one.ask(), settings)
            && backlog.takes(one.ask().promptTokens(), settings.backlogMillis(), nowMillis);
    if (!fits) {
      return;
    }
    learn(one, nowMillis);
    waiting.remove(one.key());
    long readMillis = backlog.add(one.ask().promptTokens(), nowMillis);
    running.add(new RunningRequests.Running(one.host(), one.ask(), nowMillis, readMillis));
    slot.ifPresent(
        found -> {
          found.users++;
          found.usedMillis = nowMillis;
        });
    commands.add(
        new DeskCommand.Answer(
            one.host(),
            new PermitAnswer(one.ask().ask(), true, 0, "resident"),
            one.waitedMillis(nowMillis)));
  }

  private void learn(WaitingRequest one, long nowMillis) {
    if (one.waitsForSlot()) {
      turnover.waited(one.slotsAhead(), one.waitedMillis(nowMillis));
    }
  }

  private void makeRoom(
      WaitingRequest one, Set<String> wanted, long nowMillis, List<DeskCommand> commands) {
    if (!ordering || slots.loading() >= settings.maximumLoads()) {
      return;
    }
    if (slots.free() > 0) {
      load(one.ask(), "absent", nowMillis, commands);
      return;
    }
    if (unclaimedSlots > 0) {
      unclaimedSlots--;
      return;
    }
    Optional<AdapterSlot> victim = slots.victim(wanted, demand, nowMillis);
    if (victim.isEmpty() && one.waitedMillis(nowMillis) >= closeAfterMillis()) {
      victim = closed.closeOne(slots, wanted, running);
    }
    victim.ifPresent(
        slot -> {
          slot.state = AdapterSlot.State.UNLOADING;
          closed.open(slot.adapter);
          AdapterOrder order = new AdapterOrder(false, model, slot.adapter, 0);
          commands.add(new DeskCommand.Order(order, "for:" + one.ask().adapter()));
        });
  }

  private long closeAfterMillis() {
    return waiting.slotsWanted(slots) <= 1 ? CLOSE_AFTER_MILLIS : CLOSE_AFTER_WHEN_SHORT_MILLIS;
  }

  private void load(PermitAsk ask, String reason, long nowMillis, List<DeskCommand> commands) {
    Optional<AdapterSlot> former = slots.find(ask.adapter());
    AdapterSlot slot =
        former.orElseGet(
            () -> slots.put(ask.adapter(), ask.version(), AdapterSlot.State.LOADING, nowMillis));
    slot.state = AdapterSlot.State.LOADING;
    slot.changedMillis = nowMillis;
    AdapterOrder order = new AdapterOrder(true, model, ask.adapter(), ask.version());
    commands.add(new DeskCommand.Order(order, reason));
  }

  private void giveUp(long nowMillis, List<DeskCommand> commands) {
    for (WaitingRequest one : waiting.all()) {
      if (!unread && lacksHolder(one.ask())) {
        waiting.remove(one.key());
        commands.add(refusal(one, orderingInMillis, NO_HOLDER, nowMillis));
      } else if (waitsInVain(one, nowMillis)) {
        learn(one, nowMillis);
        waiting.remove(one.key());
        long expected = expectedWaitMillis(one.ask(), nowMillis);
        commands.add(refusal(one, expected, "waited-in-vain", nowMillis));
      }
    }
  }

  private static boolean waitsInVain(WaitingRequest one, long nowMillis) {
    long waited = one.waitedMillis(nowMillis);
    return waited + LEAST_RUN_MILLIS >= one.ask().deadlineMillis()
        || waited >= one.ask().aimMillis() * PATIENCE;
  }

  private static DeskCommand refusal(
      WaitingRequest one, long expectedMillis, String reason, long nowMillis) {
    return refusal(one.host(), one.ask(), expectedMillis, reason, one.waitedMillis(nowMillis));
  }

  private static DeskCommand refusal(
      String host, PermitAsk ask, long expectedMillis, String reason, long waitedMillis) {
    long retry = Math.max(LEAST_RETRY_MILLIS, expectedMillis);
    PermitAnswer answer = new PermitAnswer(ask.ask(), false, retry, reason);
    return new DeskCommand.Answer(host, answer, waitedMillis);
  }

  /**
   * Describes the engine for the other hosts.
   *
   * @param life the engine's life
   * @param holding whether this host may order the engine
   * @param nowMillis the time
   * @return the notice
   */
  public EngineNotice notice(String life, boolean holding, long nowMillis) {
    if (isUnreachable(nowMillis)) {
      return new EngineNotice(life, false, List.of(), UNREACHABLE_MILLIS, 0, 0);
    }
    return new EngineNotice(
        life,
        holding,
        slots.names(),
        readingMillis(nowMillis),
        slots.available(),
        waiting.slotsWanted(slots));
  }

  /**
   * Tells whether anybody waits.
   *
   * @return whether time alone may make a decision due
   */
  public boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  /**
   * Gets the speed at which the engine is believed to read prompts.
   *
   * @return tokens in a millisecond
   */
  public double promptTokensPerMilli() {
    return backlog.speed();
  }

  /**
   * Tells whether anybody waits or runs.
   *
   * @return whether the desk has anything in hand
   */
  public boolean isBusy() {
    return !waiting.isEmpty() || !running.isEmpty();
  }
}
