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
public final class EngineScheduler {

  /** The wait for a slot after which an adapter in use is drained, if one absent one waits. */
  private static final long DRAIN_AFTER_MILLIS = 150;

  /** The same if several wait: slots are scarce, and the adapters in use serve most requests. */
  private static final long BUSY_DRAIN_AFTER_MILLIS = 600;

  /** The part of the time to its target after which a waiting request is refused as too late. */
  private static final double MAXIMUM_WAIT_FRACTION = 0.85;

  /** The minimum time before its deadline that a request needs at the engine, in milliseconds. */
  private static final long MINIMUM_RUN_MILLIS = 300;

  private static final long MINIMUM_RETRY_MILLIS = 100;

  /** The backoff after an engine was unreachable, in milliseconds. */
  private static final long BACKOFF_MILLIS = 1_000;

  /** The time to the first event beyond the wait and the prefill, in milliseconds. */
  private static final long OVERHEAD_MILLIS = 60;

  private static final String UNREACHABLE = "engine-unreachable";
  private static final String NO_OWNER = "no-holder";

  private final SchedulerSettings settings;
  private final String model;
  private final AdapterSlots slots;
  private final AdapterDemand demand = new AdapterDemand();
  private final PromptBacklog backlog;
  private final SlotWaitEstimator slotWaits = new SlotWaitEstimator();
  private final RequestQueue queue = new RequestQueue();
  private final RunningRequests running = new RunningRequests();
  private final DrainingAdapter draining = new DrainingAdapter();
  private long unreachableUntilMillis;
  private boolean awaitingReport;
  private boolean modelPresent;
  private boolean modelOrdered;
  private boolean canOrder;
  private long canOrderInMillis = MINIMUM_RETRY_MILLIS;

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
  public EngineScheduler(
      SchedulerSettings settings, String model, boolean modelPresent, double promptTokensPerMilli) {
    this.settings = settings;
    this.model = model;
    this.modelPresent = modelPresent;
    this.slots = new AdapterSlots(settings.adapterSlots());
    this.backlog = new PromptBacklog(promptTokensPerMilli);
  }

  /** Queues all permit requests until the engine's first report, which lists what it has loaded. */
  public void awaitReport() {
    awaitingReport = true;
  }

  /**
   * Replaces the known state of the engine by its report; adapters not listed in it are removed.
   *
   * @param modelLoaded whether the engine has loaded the base model
   * @param adapters the versions of the resident adapters, by name
   * @param loading the versions of the adapters that are loading, by name
   * @param nowMillis the current time, in milliseconds
   */
  public void updateFromReport(
      boolean modelLoaded, Map<String, Long> adapters, Map<String, Long> loading, long nowMillis) {
    awaitingReport = false;
    modelPresent = modelLoaded;
    slots.clear();
    adapters.forEach(
        (name, version) -> slots.put(name, version, AdapterSlot.State.RESIDENT, nowMillis));
    loading.forEach(
        (name, version) -> slots.put(name, version, AdapterSlot.State.LOADING, nowMillis));
    for (RunningRequests.Running run : running.all()) {
      slots.find(run.request().adapter()).ifPresent(slot -> slot.runningRequests++);
    }
  }

  /**
   * Sets whether this host may send orders to the engine; if not, only loaded adapters are served.
   *
   * @param allowed whether orders can be sent
   */
  public void setCanOrder(boolean allowed) {
    canOrder = allowed;
  }

  /**
   * Sets the time until this host may be able to send orders to the engine.
   *
   * @param millis the time, in milliseconds
   */
  public void setCanOrderIn(long millis) {
    canOrderInMillis = Math.max(MINIMUM_RETRY_MILLIS, millis);
  }

  /**
   * Records that the engine did not answer: nothing is sent to it until it does, or for a backoff.
   *
   * @param nowMillis the current time, in milliseconds
   * @return refusals of all waiting requests
   */
  public List<EngineCommand> markUnreachable(long nowMillis) {
    awaitingReport = false;
    unreachableUntilMillis = nowMillis + BACKOFF_MILLIS;
    List<EngineCommand> commands = new ArrayList<>();
    for (QueueEntry item : queue.all()) {
      commands.add(refusal(item, BACKOFF_MILLIS, UNREACHABLE, nowMillis));
    }
    queue.clear();
    return commands;
  }

  /** Records that the engine answered. */
  public void markReachable() {
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
  public List<EngineCommand> submit(String host, PermitRequest request, long nowMillis) {
    demand.recordRequest(request.adapter(), nowMillis);
    if (isUnreachable(nowMillis)) {
      return List.of(refusal(host, request, BACKOFF_MILLIS, UNREACHABLE, 0));
    }
    if (!awaitingReport && lacksOwner(request)) {
      return List.of(refusal(host, request, canOrderInMillis, NO_OWNER, 0));
    }
    long waitMillis = expectedWaitMillis(request, nowMillis);
    long firstMillis = waitMillis + backlog.prefillMillis(request.promptTokens()) + OVERHEAD_MILLIS;
    if (firstMillis > request.remainingTargetMillis() && waitMillis > MINIMUM_RUN_MILLIS) {
      return List.of(refusal(host, request, waitMillis, "no-room", 0));
    }
    int slotsAhead = needsSlot(request) ? queue.adaptersWithoutSlot(slots) : QueueEntry.NO_SLOT;
    queue.add(new QueueEntry(host, request, nowMillis, slotsAhead));
    return decide(nowMillis);
  }

  private boolean lacksOwner(PermitRequest request) {
    boolean loaded =
        request.adapter().isEmpty() || slots.isResident(request.adapter(), request.version());
    return !canOrder && !(loaded && modelPresent);
  }

  private long expectedWaitMillis(PermitRequest request, long nowMillis) {
    long prefillMillis = Math.max(0, prefillMillis(nowMillis) - settings.backlogMillis());
    return needsSlot(request)
        ? Math.max(prefillMillis, slotWaits.expectedWaitMillis(queue.adaptersWithoutSlot(slots)))
        : prefillMillis;
  }

  private long prefillMillis(long nowMillis) {
    return backlog.remainingMillis(nowMillis) + backlog.prefillMillis(queue.promptTokens());
  }

  private boolean needsSlot(PermitRequest request) {
    return !request.adapter().isEmpty()
        && slots.find(request.adapter()).isEmpty()
        && slots.available() == 0
        && !queue.hasAdapter(request.adapter());
  }

  /**
   * Releases a permit, or withdraws a permit request.
   *
   * @param host the host that sent the permit request
   * @param end the outcome of the request
   * @param nowMillis the current time, in milliseconds
   * @return the commands to carry out
   */
  public List<EngineCommand> release(String host, PermitReturn end, long nowMillis) {
    String key = QueueEntry.key(host, end.permitId());
    queue.remove(key);
    Optional<RunningRequests.Running> removed = running.remove(key);
    if (removed.isEmpty()) {
      return decide(nowMillis);
    }
    RunningRequests.Running run = removed.get();
    if (end.firstEventMillis() > 0) {
      backlog.correctSpeed(run.predictedPrefillMillis(), end.firstEventMillis());
    }
    Optional<AdapterSlot> slot = slots.find(run.request().adapter());
    slot.ifPresent(
        found -> {
          found.runningRequests = Math.max(0, found.runningRequests - 1);
          found.lastUsedAtMillis = nowMillis;
        });
    if (end.outcome() == PermitReturn.Outcome.UNREACHABLE) {
      return markUnreachable(nowMillis);
    }
    if (end.outcome() == PermitReturn.Outcome.ABSENT && run.request().adapter().isEmpty()) {
      modelPresent = false;
    } else if (end.outcome() == PermitReturn.Outcome.ABSENT) {
      return reload(run.request(), slot, nowMillis);
    }
    return decide(nowMillis);
  }

  /** Reloads an adapter that the engine reported as absent; its slot counts as occupied. */
  private List<EngineCommand> reload(
      PermitRequest request, Optional<AdapterSlot> slot, long nowMillis) {
    List<EngineCommand> commands = new ArrayList<>();
    if (canOrder && slot.isPresent() && slot.get().state == AdapterSlot.State.RESIDENT) {
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
  public List<EngineCommand> removeHost(String host, long nowMillis) {
    queue.removeHost(host);
    List<EngineCommand> commands = new ArrayList<>();
    for (RunningRequests.Running run : running.all()) {
      if (run.host().equals(host)) {
        PermitReturn end = new PermitReturn(run.request().permitId(), PermitReturn.Outcome.DONE, 0);
        commands.addAll(release(host, end, nowMillis));
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
  public List<EngineCommand> recordOrder(AdapterOrder order, boolean done, long nowMillis) {
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
            found.changedAtMillis = nowMillis;
            found.lastUsedAtMillis = nowMillis;
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
  public List<EngineCommand> decide(long nowMillis) {
    List<EngineCommand> commands = new ArrayList<>();
    refuseOverdue(nowMillis, commands);
    if (awaitingReport) {
      return commands;
    }
    if (!modelPresent) {
      orderModel(commands);
      return commands;
    }
    Set<String> requested = queue.adapters();
    unclaimedSlots = slots.unloading();
    for (QueueEntry item : queue.byUrgency(nowMillis)) {
      decide(item, requested, nowMillis, commands);
    }
    return commands;
  }

  private void orderModel(List<EngineCommand> commands) {
    if (canOrder && !modelOrdered && !queue.isEmpty()) {
      modelOrdered = true;
      commands.add(new EngineCommand.Order(new AdapterOrder(true, model, "", 0), "model-absent"));
    }
  }

  private void decide(
      QueueEntry item, Set<String> requested, long nowMillis, List<EngineCommand> commands) {
    PermitRequest request = item.request();
    Optional<AdapterSlot> slot = slots.find(request.adapter());
    if (request.adapter().isEmpty()) {
      grant(item, Optional.empty(), nowMillis, commands);
    } else if (slot.isEmpty()) {
      loadOrEvict(item, requested, nowMillis, commands);
    } else if (slot.get().state == AdapterSlot.State.RESIDENT) {
      if (canOrder && slot.get().version < request.version()) {
        load(request, "version-announced", nowMillis, commands);
      } else if (slot.get().version >= request.version() && !draining.is(request.adapter())) {
        grant(item, slot, nowMillis, commands);
      }
    }
  }

  private void grant(
      QueueEntry item, Optional<AdapterSlot> slot, long nowMillis, List<EngineCommand> commands) {
    boolean fits =
        running.fits(item.request(), settings)
            && backlog.admits(item.request().promptTokens(), settings.backlogMillis(), nowMillis);
    if (!fits) {
      return;
    }
    recordSlotWait(item, nowMillis);
    queue.remove(item.key());
    long readMillis = backlog.add(item.request().promptTokens(), nowMillis);
    running.add(new RunningRequests.Running(item.host(), item.request(), nowMillis, readMillis));
    slot.ifPresent(
        found -> {
          found.runningRequests++;
          found.lastUsedAtMillis = nowMillis;
        });
    commands.add(
        new EngineCommand.Answer(
            item.host(),
            new PermitAnswer(item.request().permitId(), true, 0, "resident"),
            item.waitedMillis(nowMillis)));
  }

  private void recordSlotWait(QueueEntry item, long nowMillis) {
    if (item.waitsForSlot()) {
      slotWaits.recordWait(item.slotsAhead(), item.waitedMillis(nowMillis));
    }
  }

  private void loadOrEvict(
      QueueEntry item, Set<String> requested, long nowMillis, List<EngineCommand> commands) {
    if (!canOrder || slots.loading() >= settings.maximumLoads()) {
      return;
    }
    if (slots.free() > 0) {
      load(item.request(), "absent", nowMillis, commands);
      return;
    }
    if (unclaimedSlots > 0) {
      unclaimedSlots--;
      return;
    }
    Optional<AdapterSlot> evicted = slots.evictionCandidate(requested, demand, nowMillis);
    if (evicted.isEmpty() && item.waitedMillis(nowMillis) >= drainAfterMillis()) {
      evicted = draining.drainOne(slots, requested, running);
    }
    evicted.ifPresent(
        slot -> {
          slot.state = AdapterSlot.State.UNLOADING;
          draining.end(slot.adapter);
          AdapterOrder order = new AdapterOrder(false, model, slot.adapter, 0);
          commands.add(new EngineCommand.Order(order, "for:" + item.request().adapter()));
        });
  }

  private long drainAfterMillis() {
    return queue.adaptersWithoutSlot(slots) <= 1 ? DRAIN_AFTER_MILLIS : BUSY_DRAIN_AFTER_MILLIS;
  }

  private void load(
      PermitRequest request, String reason, long nowMillis, List<EngineCommand> commands) {
    Optional<AdapterSlot> existing = slots.find(request.adapter());
    AdapterSlot slot =
        existing.orElseGet(
            () ->
                slots.put(
                    request.adapter(), request.version(), AdapterSlot.State.LOADING, nowMillis));
    slot.state = AdapterSlot.State.LOADING;
    slot.changedAtMillis = nowMillis;
    AdapterOrder order = new AdapterOrder(true, model, request.adapter(), request.version());
    commands.add(new EngineCommand.Order(order, reason));
  }

  private void refuseOverdue(long nowMillis, List<EngineCommand> commands) {
    for (QueueEntry item : queue.all()) {
      if (!awaitingReport && lacksOwner(item.request())) {
        queue.remove(item.key());
        commands.add(refusal(item, canOrderInMillis, NO_OWNER, nowMillis));
      } else if (isOverdue(item, nowMillis)) {
        recordSlotWait(item, nowMillis);
        queue.remove(item.key());
        long waitMillis = expectedWaitMillis(item.request(), nowMillis);
        commands.add(refusal(item, waitMillis, "waited-in-vain", nowMillis));
      }
    }
  }

  private static boolean isOverdue(QueueEntry item, long nowMillis) {
    long waited = item.waitedMillis(nowMillis);
    return waited + MINIMUM_RUN_MILLIS >= item.request().remainingMillis()
        || waited >= item.request().remainingTargetMillis() * MAXIMUM_WAIT_FRACTION;
  }

  private static EngineCommand refusal(
      QueueEntry item, long waitMillis, String reason, long nowMillis) {
    return refusal(item.host(), item.request(), waitMillis, reason, item.waitedMillis(nowMillis));
  }

  private static EngineCommand refusal(
      String host, PermitRequest request, long waitMillis, String reason, long waitedMillis) {
    long retry = Math.max(MINIMUM_RETRY_MILLIS, waitMillis);
    PermitAnswer answer = new PermitAnswer(request.permitId(), false, retry, reason);
    return new EngineCommand.Answer(host, answer, waitedMillis);
  }

  /**
   * Returns the status of the engine for the other hosts.
   *
   * @param incarnation the engine's incarnation
   * @param owned whether this host may send orders to the engine
   * @param nowMillis the current time, in milliseconds
   * @return the engine status
   */
  public EngineStatus status(String incarnation, boolean owned, long nowMillis) {
    if (isUnreachable(nowMillis)) {
      return new EngineStatus(incarnation, false, List.of(), BACKOFF_MILLIS, 0, 0);
    }
    return new EngineStatus(
        incarnation,
        owned,
        slots.loadedOrLoadingNames(),
        prefillMillis(nowMillis),
        slots.available(),
        queue.adaptersWithoutSlot(slots));
  }

  /**
   * Returns whether requests wait.
   *
   * @return whether time alone may make a decision due
   */
  public boolean hasWaiting() {
    return !queue.isEmpty();
  }

  /**
   * Returns the estimate of the engine's prefill speed.
   *
   * @return the speed, in tokens per millisecond
   */
  public double promptTokensPerMillisecond() {
    return backlog.tokensPerMillisecond();
  }

  /**
   * Returns whether requests wait or run.
   *
   * @return whether any request is in the queue or at the engine
   */
  public boolean isBusy() {
    return !queue.isEmpty() || !running.isEmpty();
  }
}
