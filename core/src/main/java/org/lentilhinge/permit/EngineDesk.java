package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides for one incarnation of an engine which requests may be sent, wait or are refused, and
 * which adapters are loaded and unloaded for them. Requests for a resident adapter run at once; the
 * others wait for a slot, those that can still be on time first, in the order of their urgency.
 */
public final class EngineDesk {

  /** The wait for a slot after which an adapter in use is drained, if one absent one waits. */
  private static final long CLOSE_AFTER_MILLIS = 150;

  /** The same if several wait: slots are scarce, and the adapters in use serve most requests. */
  private static final long CLOSE_AFTER_WHEN_SHORT_MILLIS = 600;

  /** The part of the time to its target after which a waiting request is refused as too late. */
  private static final double PATIENCE = 0.85;

  /** The minimum time before its deadline that a request needs at the engine, in milliseconds. */
  private static final long LEAST_RUN_MILLIS = 300;

  private static final long LEAST_RETRY_MILLIS = 100;

  /** The backoff after an engine was unreachable, in milliseconds. */
  private static final long UNREACHABLE_MILLIS = 1_000;

  /** The time to the first event beyond the wait and the prefill, in milliseconds. */
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

  /** The slots that are being freed and that no waiting request has claimed in this decision. */
  private int unclaimedSlots;

  /**
   * Creates a scheduler.
   *
   * @param settings the engine's limits
   * @param model the base model that the engine serves
   * @param modelPresent whether the engine has loaded the model
   * @param promptTokensPerMilli the initial prefill speed, in tokens per millisecond
   */
  public EngineDesk(
      DeskSettings settings, String model, boolean modelPresent, double promptTokensPerMilli) {
    this.settings = settings;
    this.model = model;
    this.modelPresent = modelPresent;
    this.slots = new AdapterSlots(settings.adapterSlots());
    this.backlog = new PromptBacklog(promptTokensPerMilli);
  }

  /** Queues all permit requests until the engine's first report, which lists what it has loaded. */
  public void awaitReport() {
    unread = true;
  }

  /**
   * Replaces the known state of the engine by its report; adapters not listed in it are removed.
   *
   * @param modelLoaded whether the engine has loaded the base model
   * @param adapters the versions of the resident adapters, by name
   * @param loading the versions of the adapters that are loading, by name
   * @param nowMillis the current time, in milliseconds
   */
  public void reported(
      boolean modelLoaded, Map<String, Long> adapters, Map<String, Long> loading, long nowMillis) {
    unread = false;
    modelPresent = modelLoaded;
    slots.clear();
    adapters.forEach(
        (name, version) -> slots.put(name, version, AdapterSlot.State.RESIDENT, nowMillis));
    loading.forEach(
        (name, version) -> slots.put(name, version, AdapterSlot.State.LOADING, nowMillis));
    for (RunningRequests.Running run : running.all()) {
      slots.find(run.ask().adapter()).ifPresent(slot -> slot.users++);
    }
  }

  /**
   * Sets whether this host may send orders to the engine; if not, only loaded adapters are served.
   *
   * @param allowed whether orders can be sent
   */
  public void ordering(boolean allowed) {
    ordering = allowed;
  }

  /**
   * Sets the time until this host may be able to send orders to the engine.
   *
   * @param millis the time, in milliseconds
   */
  public void orderingIn(long millis) {
    orderingInMillis = Math.max(LEAST_RETRY_MILLIS, millis);
  }

  /**
   * Records that the engine did not answer: nothing is sent to it until it does, or for a backoff.
   *
   * @param nowMillis the current time, in milliseconds
   * @return refusals of all waiting requests
   */
  public List<DeskCommand> unreachable(long nowMillis) {
    unread = false;
    unreachableUntilMillis = nowMillis + UNREACHABLE_MILLIS;
    List<DeskCommand> commands = new ArrayList<>();
    for (WaitingRequest item : waiting.all()) {
      commands.add(refusal(item, UNREACHABLE_MILLIS, UNREACHABLE, nowMillis));
    }
    waiting.clear();
    return commands;
  }

  /** Records that the engine answered. */
  public void reachable() {
    unreachableUntilMillis = 0;
  }

  /**
   * Returns whether the engine is in the backoff after it did not answer.
   *
   * @param nowMillis the current time, in milliseconds
   * @return whether nothing is sent to the engine
   */
  public boolean isUnreachable(long nowMillis) {
    return nowMillis < unreachableUntilMillis;
  }

  /**
   * Handles a permit request.
   *
   * @param host the host that sent the request
   * @param request the permit request
   * @param nowMillis the current time, in milliseconds
   * @return a refusal if it is certain already, else the commands to carry out
   */
  public List<DeskCommand> ask(String host, PermitAsk request, long nowMillis) {
    demand.asked(request.adapter(), nowMillis);
    if (isUnreachable(nowMillis)) {
      return List.of(refusal(host, request, UNREACHABLE_MILLIS, UNREACHABLE, 0));
    }
    if (!unread && lacksHolder(request)) {
      return List.of(refusal(host, request, orderingInMillis, NO_HOLDER, 0));
    }
    long waitMillis = expectedWaitMillis(request, nowMillis);
    long firstMillis =
        waitMillis + backlog.readingMillis(request.promptTokens()) + FIRST_EVENT_MILLIS;
    if (firstMillis > request.aimMillis() && waitMillis > LEAST_RUN_MILLIS) {
      return List.of(refusal(host, request, waitMillis, "no-room", 0));
    }
    int slotsAhead = needsSlot(request) ? waiting.slotsWanted(slots) : WaitingRequest.NO_SLOT;
    waiting.add(new WaitingRequest(host, request, nowMillis, slotsAhead));
    return decide(nowMillis);
  }

  private boolean lacksHolder(PermitAsk request) {
    boolean loaded =
        request.adapter().isEmpty() || slots.isResident(request.adapter(), request.version());
    return !ordering && !(loaded && modelPresent);
  }

  private long expectedWaitMillis(PermitAsk request, long nowMillis) {
    long prefillMillis = Math.max(0, readingMillis(nowMillis) - settings.backlogMillis());
    return needsSlot(request)
        ? Math.max(prefillMillis, turnover.waitMillis(waiting.slotsWanted(slots)))
        : prefillMillis;
  }

  private long readingMillis(long nowMillis) {
    return backlog.millis(nowMillis) + backlog.readingMillis(waiting.promptTokens());
  }

  private boolean needsSlot(PermitAsk request) {
    return !request.adapter().isEmpty()
        && slots.find(request.adapter()).isEmpty()
        && slots.available() == 0
        && !waiting.hasAdapter(request.adapter());
  }

  /**
   * Releases a permit, or withdraws a permit request.
   *
   * @param host the host that sent the permit request
   * @param end the outcome of the request
   * @param nowMillis the current time, in milliseconds
   * @return the commands to carry out
   */
  public List<DeskCommand> ended(String host, PermitEnd end, long nowMillis) {
    String key = WaitingRequest.key(host, end.ask());
    waiting.remove(key);
    Optional<RunningRequests.Running> removed = running.remove(key);
    if (removed.isEmpty()) {
      return decide(nowMillis);
    }
    RunningRequests.Running run = removed.get();
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

  /** Reloads an adapter that the engine reported as absent; its slot counts as occupied. */
  private List<DeskCommand> reload(PermitAsk request, Optional<AdapterSlot> slot, long nowMillis) {
    List<DeskCommand> commands = new ArrayList<>();
    if (ordering && slot.isPresent() && slot.get().state == AdapterSlot.State.RESIDENT) {
      load(request, "said-absent", nowMillis, commands);
    }
    commands.addAll(decide(nowMillis));
    return commands;
  }

  /**
   * Removes the permit requests and releases the permits of a host that failed or left.
   *
   * @param host the host
   * @param nowMillis the current time, in milliseconds
   * @return the commands to carry out
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
   * Records that an order was carried out or has failed.
   *
   * @param order the order
   * @param done whether it was carried out
   * @param nowMillis the current time, in milliseconds
   * @return the commands to carry out
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
   * Makes all decisions that are possible now.
   *
   * @param nowMillis the current time, in milliseconds
   * @return the commands to carry out, in this order
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
    Set<String> requested = waiting.adapters();
    unclaimedSlots = slots.unloading();
    for (WaitingRequest item : waiting.byUrgency(nowMillis)) {
      decide(item, requested, nowMillis, commands);
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
      WaitingRequest item, Set<String> requested, long nowMillis, List<DeskCommand> commands) {
    PermitAsk request = item.ask();
    Optional<AdapterSlot> slot = slots.find(request.adapter());
    if (request.adapter().isEmpty()) {
      grant(item, Optional.empty(), nowMillis, commands);
    } else if (slot.isEmpty()) {
      makeRoom(item, requested, nowMillis, commands);
    } else if (slot.get().state == AdapterSlot.State.RESIDENT) {
      if (ordering && slot.get().version < request.version()) {
        load(request, "version-announced", nowMillis, commands);
      } else if (slot.get().version >= request.version() && !closed.is(request.adapter())) {
        grant(item, slot, nowMillis, commands);
      }
    }
  }

  private void grant(
      WaitingRequest item, Optional<AdapterSlot> slot, long nowMillis, List<DeskCommand> commands) {
    boolean fits =
        running.fits(item.ask(), settings)
            && backlog.takes(item.ask().promptTokens(), settings.backlogMillis(), nowMillis);
    if (!fits) {
      return;
    }
    learn(item, nowMillis);
    waiting.remove(item.key());
    long readMillis = backlog.add(item.ask().promptTokens(), nowMillis);
    running.add(new RunningRequests.Running(item.host(), item.ask(), nowMillis, readMillis));
    slot.ifPresent(
        found -> {
          found.users++;
          found.usedMillis = nowMillis;
        });
    commands.add(
        new DeskCommand.Answer(
            item.host(),
            new PermitAnswer(item.ask().ask(), true, 0, "resident"),
            item.waitedMillis(nowMillis)));
  }

  private void learn(WaitingRequest item, long nowMillis) {
    if (item.waitsForSlot()) {
      turnover.waited(item.slotsAhead(), item.waitedMillis(nowMillis));
    }
  }

  private void makeRoom(
      WaitingRequest item, Set<String> requested, long nowMillis, List<DeskCommand> commands) {
    if (!ordering || slots.loading() >= settings.maximumLoads()) {
      return;
    }
    if (slots.free() > 0) {
      load(item.ask(), "absent", nowMillis, commands);
      return;
    }
    if (unclaimedSlots > 0) {
      unclaimedSlots--;
      return;
    }
    Optional<AdapterSlot> evicted = slots.victim(requested, demand, nowMillis);
    if (evicted.isEmpty() && item.waitedMillis(nowMillis) >= closeAfterMillis()) {
      evicted = closed.closeOne(slots, requested, running);
    }
    evicted.ifPresent(
        slot -> {
          slot.state = AdapterSlot.State.UNLOADING;
          closed.open(slot.adapter);
          AdapterOrder order = new AdapterOrder(false, model, slot.adapter, 0);
          commands.add(new DeskCommand.Order(order, "for:" + item.ask().adapter()));
        });
  }

  private long closeAfterMillis() {
    return waiting.slotsWanted(slots) <= 1 ? CLOSE_AFTER_MILLIS : CLOSE_AFTER_WHEN_SHORT_MILLIS;
  }

  private void load(PermitAsk request, String reason, long nowMillis, List<DeskCommand> commands) {
    Optional<AdapterSlot> existing = slots.find(request.adapter());
    AdapterSlot slot =
        existing.orElseGet(
            () ->
                slots.put(
                    request.adapter(), request.version(), AdapterSlot.State.LOADING, nowMillis));
    slot.state = AdapterSlot.State.LOADING;
    slot.changedMillis = nowMillis;
    AdapterOrder order = new AdapterOrder(true, model, request.adapter(), request.version());
    commands.add(new DeskCommand.Order(order, reason));
  }

  private void giveUp(long nowMillis, List<DeskCommand> commands) {
    for (WaitingRequest item : waiting.all()) {
      if (!unread && lacksHolder(item.ask())) {
        waiting.remove(item.key());
        commands.add(refusal(item, orderingInMillis, NO_HOLDER, nowMillis));
      } else if (waitsInVain(item, nowMillis)) {
        learn(item, nowMillis);
        waiting.remove(item.key());
        long waitMillis = expectedWaitMillis(item.ask(), nowMillis);
        commands.add(refusal(item, waitMillis, "waited-in-vain", nowMillis));
      }
    }
  }

  private static boolean waitsInVain(WaitingRequest item, long nowMillis) {
    long waited = item.waitedMillis(nowMillis);
    return waited + LEAST_RUN_MILLIS >= item.ask().deadlineMillis()
        || waited >= item.ask().aimMillis() * PATIENCE;
  }

  private static DeskCommand refusal(
      WaitingRequest item, long waitMillis, String reason, long nowMillis) {
    return refusal(item.host(), item.ask(), waitMillis, reason, item.waitedMillis(nowMillis));
  }

  private static DeskCommand refusal(
      String host, PermitAsk request, long waitMillis, String reason, long waitedMillis) {
    long retry = Math.max(LEAST_RETRY_MILLIS, waitMillis);
    PermitAnswer answer = new PermitAnswer(request.ask(), false, retry, reason);
    return new DeskCommand.Answer(host, answer, waitedMillis);
  }

  /**
   * Returns the status of the engine for the other hosts.
   *
   * @param incarnation the engine's incarnation
   * @param owned whether this host may send orders to the engine
   * @param nowMillis the current time, in milliseconds
   * @return the engine status
   */
  public EngineNotice notice(String incarnation, boolean owned, long nowMillis) {
    if (isUnreachable(nowMillis)) {
      return new EngineNotice(incarnation, false, List.of(), UNREACHABLE_MILLIS, 0, 0);
    }
    return new EngineNotice(
        incarnation,
        owned,
        slots.names(),
        readingMillis(nowMillis),
        slots.available(),
        waiting.slotsWanted(slots));
  }

  /**
   * Returns whether requests wait.
   *
   * @return whether time alone may make a decision due
   */
  public boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  /**
   * Returns the estimate of the engine's prefill speed.
   *
   * @return the speed, in tokens per millisecond
   */
  public double promptTokensPerMilli() {
    return backlog.speed();
  }

  /**
   * Returns whether requests wait or run.
   *
   * @return whether any request is in the queue or at the engine
   */
  public boolean isBusy() {
    return !waiting.isEmpty() || !running.isEmpty();
  }
}
