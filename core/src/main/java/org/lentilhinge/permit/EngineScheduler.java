package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.limit.RequestRate;

/**
 * Decides which requests to one incarnation of an engine are sent, wait or are refused, and which
 * adapters the engine loads and unloads. Requests for a resident adapter need not wait for a slot.
 * A {@link RequestOrder} decides which waiting requests come first.
 */
public final class EngineScheduler {

  /**
   * The time for which an engine that does not respond gets no requests, in milliseconds. Its
   * status states it as the backlog.
   */
  public static final long UNREACHABLE_BACKOFF_MILLIS = 1_000;

  private static final String UNREACHABLE = "engine-unreachable";
  private static final String NO_OWNER = "no-holder";

  /** The longest wait for the turn under the engine's request limit, in milliseconds. */
  private static final long MAXIMUM_RATE_WAIT_MILLIS = 100;

  private final SchedulerSettings settings;
  private final BaseModel model;
  private final AdapterSlots slots;
  private final RequestDemand demand = new RequestDemand();
  private final PromptBacklog backlog;
  private final RequestQueue queue = new RequestQueue();
  private final QueueAdmission admission;
  private final RunningRequests running = new RunningRequests();
  private final SlotTurnover turnover;
  private final RequestRate rate;
  private long unreachableUntilMillis;
  private boolean awaitingReport;
  private boolean canOrder;
  private long canOrderInMillis;

  /** Whether a request waits for capacity in the current decision. */
  private boolean capacityShort;

  /**
   * Creates a scheduler.
   *
   * @param settings the engine's limits
   * @param model the base model that the engine serves
   * @param modelPresent whether the engine has loaded the model
   * @param tokensPerMillisecond the initial prefill speed, in tokens per millisecond
   * @param rate paces the requests if the engine states a limit
   */
  public EngineScheduler(
      SchedulerSettings settings,
      String model,
      boolean modelPresent,
      double tokensPerMillisecond,
      RequestRate rate) {
    this.rate = rate;
    this.settings = settings;
    this.model = new BaseModel(model, modelPresent);
    this.slots = new AdapterSlots(settings.adapterSlots());
    this.turnover = new SlotTurnover(settings, model, slots, demand.weights());
    this.backlog = new PromptBacklog(tokensPerMillisecond);
    this.admission = new QueueAdmission(settings, slots, backlog, queue, running);
  }

  /**
   * Returns the base model that the engine serves.
   *
   * @return the model's name
   */
  public String model() {
    return model.name();
  }

  /** Queues all permit requests until the engine's first report, which lists loaded adapters. */
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
    model.setPresent(modelLoaded);
    slots.replaceAll(adapters, loading, nowMillis);
    for (RunningRequests.Running run : running.all()) {
      slots.find(run.request().adapter()).ifPresent(slot -> slot.runningRequests++);
    }
  }

  /**
   * Returns whether an adapter is loading that no order of the current ownership loads, so that
   * only further reports show the end of the load.
   *
   * @return whether reports are needed
   */
  public boolean needsReport() {
    return slots.hasLoadOrderedElsewhere();
  }

  /**
   * Records what a further report shows of the loads that were ordered under another ownership.
   *
   * @param adapters the versions of the resident adapters, by name
   * @param loading the versions of the adapters that are loading, by name
   * @param requestedAtMillis the time at which the report was requested, in milliseconds
   * @param nowMillis the current time, in milliseconds
   */
  public void recordReport(
      Map<String, Long> adapters,
      Map<String, Long> loading,
      long requestedAtMillis,
      long nowMillis) {
    slots.updateLoadsOrderedElsewhere(adapters, loading, requestedAtMillis, nowMillis);
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
   * Sets whether an adapter is unloaded before the next load, also if a slot is free.
   *
   * @param required whether an unload comes first, as far as an adapter is idle
   */
  public void setUnloadFirst(boolean required) {
    turnover.setUnloadFirst(required);
  }

  /**
   * Sets the time until this host may be able to send orders to the engine.
   *
   * @param millis the time, in milliseconds
   */
  public void setCanOrderIn(long millis) {
    canOrderInMillis = millis;
  }

  /**
   * Records that the engine did not respond. Nothing is sent until it does or the backoff ends.
   *
   * @param nowMillis the current time, in milliseconds
   * @return the refusals of all waiting requests
   */
  public List<EngineCommand> markUnreachable(long nowMillis) {
    awaitingReport = false;
    unreachableUntilMillis = nowMillis + UNREACHABLE_BACKOFF_MILLIS;
    return refuseWaiting(UNREACHABLE_BACKOFF_MILLIS, UNREACHABLE, nowMillis);
  }

  /**
   * Refuses all waiting requests.
   *
   * @param retryMillis the time after which a retry is worthwhile, in milliseconds
   * @param reason the reason, for the log
   * @param nowMillis the current time, in milliseconds
   * @return the refusals
   */
  public List<EngineCommand> refuseWaiting(long retryMillis, String reason, long nowMillis) {
    return queue.refuseAll(retryMillis, reason, nowMillis);
  }

  /** Records that the engine responded. */
  public void markReachable() {
    unreachableUntilMillis = 0;
  }

  /**
   * Returns whether the engine is in the backoff after it did not respond.
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
   * @return a refusal if the request cannot be served in time, else the commands to carry out
   */
  public List<EngineCommand> submit(String host, PermitRequest request, long nowMillis) {
    if (admission.isTooLarge(request)) {
      return List.of(admission.refuseTooLarge(host, request, nowMillis));
    }
    demand.record(request, backlog.tokensPerMillisecond(), nowMillis);
    if (isUnreachable(nowMillis)) {
      return List.of(
          EngineCommand.Answer.refusal(host, request, UNREACHABLE_BACKOFF_MILLIS, UNREACHABLE, 0));
    }
    if (!awaitingReport && needsUnavailableOrder(request)) {
      return List.of(EngineCommand.Answer.refusal(host, request, canOrderInMillis, NO_OWNER, 0));
    }
    long rateWaitMillis = rate.waitMillis(queue.size(), nowMillis);
    if (rateWaitMillis > MAXIMUM_RATE_WAIT_MILLIS) {
      return List.of(EngineCommand.Answer.limitRefusal(host, request, rateWaitMillis));
    }
    List<EngineCommand> commands = new ArrayList<>(admission.admit(host, request, nowMillis));
    if (queue.contains(QueueEntry.key(host, request.permitId()))) {
      commands.addAll(decide(nowMillis));
    }
    return commands;
  }

  private boolean needsUnavailableOrder(PermitRequest request) {
    boolean loaded =
        request.adapter().isEmpty() || slots.isResident(request.adapter(), request.version());
    return !canOrder && !(loaded && model.isPresent());
  }

  /**
   * Releases a permit, or withdraws a permit request.
   *
   * @param host the host that sent the permit request
   * @param returned the returned permit, with the outcome of its request
   * @param nowMillis the current time, in milliseconds
   * @return the commands to carry out
   */
  public List<EngineCommand> release(String host, PermitReturn returned, long nowMillis) {
    String key = QueueEntry.key(host, returned.permitId());
    queue.remove(key);
    Optional<RunningRequests.Running> removed = running.remove(key);
    if (removed.isEmpty()) {
      return decide(nowMillis);
    }
    RunningRequests.Running run = removed.get();
    if (returned.firstEventMillis() > 0) {
      backlog.correctSpeed(run.predictedPrefillMillis(), returned.firstEventMillis());
    }
    Optional<AdapterSlot> slot = slots.find(run.request().adapter());
    slot.ifPresent(found -> found.recordEnd(nowMillis));
    if (returned.outcome() == PermitReturn.Outcome.REFUSED) {
      rate.recordRefusal(nowMillis);
    }
    List<EngineCommand> commands = new ArrayList<>();
    if (returned.outcome() == PermitReturn.Outcome.UNREACHABLE) {
      // Only the other host's path may have failed.
      commands.add(new EngineCommand.CheckReachable());
    }
    if (returned.outcome() == PermitReturn.Outcome.ABSENT && run.request().adapter().isEmpty()) {
      model.setPresent(false);
    } else if (returned.outcome() == PermitReturn.Outcome.ABSENT) {
      return reload(run.request(), slot, nowMillis);
    }
    commands.addAll(decide(nowMillis));
    return commands;
  }

  /** Reloads an adapter that the engine reported as absent; its slot counts as occupied. */
  private List<EngineCommand> reload(
      PermitRequest request, Optional<AdapterSlot> slot, long nowMillis) {
    List<EngineCommand> commands = new ArrayList<>();
    if (canOrder && slot.isPresent() && slot.get().state == AdapterSlot.State.RESIDENT) {
      turnover.load(request.adapter(), request.version(), "said-absent", nowMillis, commands);
    }
    commands.addAll(decide(nowMillis));
    return commands;
  }

  /**
   * Removes permit requests and releases permits that have ended without being returned.
   *
   * @param ended selects them
   * @param nowMillis the current time, in milliseconds
   * @return the commands to carry out, and the number of released permits
   */
  public PermitRecovery recoverPermits(EndedPermits ended, long nowMillis) {
    queue.removeEnded(ended, nowMillis);
    List<EngineCommand> commands = new ArrayList<>();
    List<RunningRequests.Running> runs = running.ended(ended, nowMillis);
    for (RunningRequests.Running run : runs) {
      PermitReturn returned =
          new PermitReturn(run.request().permitId(), PermitReturn.Outcome.DONE, 0);
      commands.addAll(release(run.host(), returned, nowMillis));
    }
    return new PermitRecovery(commands, runs.size());
  }

  /**
   * Records that an order was carried out, or that the engine refused it.
   *
   * @param order the order
   * @param done whether it was carried out; if not, the former state holds
   * @param nowMillis the current time, in milliseconds
   * @return the commands to carry out
   */
  public List<EngineCommand> recordOrder(AdapterOrder order, boolean done, long nowMillis) {
    if (order.adapter().isEmpty()) {
      model.recordOrder(done);
      return decide(nowMillis);
    }
    turnover.recordOrder(order, done, nowMillis);
    return decide(nowMillis);
  }

  /**
   * Records that a report shows that an order was not carried out and is not under way any more.
   *
   * @param order the order
   * @param residentVersion the version of the adapter that the engine holds; empty if it holds none
   * @param nowMillis the current time, in milliseconds
   * @return the commands to carry out
   */
  public List<EngineCommand> recordAbandonedOrder(
      AdapterOrder order, OptionalLong residentVersion, long nowMillis) {
    if (order.adapter().isEmpty()) {
      return recordOrder(order, false, nowMillis);
    }
    turnover.recordAbandonedOrder(order, residentVersion, nowMillis);
    return decide(nowMillis);
  }

  /**
   * Returns whether no permit for an adapter is in use.
   *
   * @param adapter the adapter's name
   * @return whether no request runs on it as far as this scheduler knows
   */
  public boolean isIdle(String adapter) {
    return slots.find(adapter).filter(slot -> slot.runningRequests > 0).isEmpty();
  }

  /**
   * Loads an adapter ahead of its requests, if the engine has no other order to carry out and a
   * slot is free or holds an idle adapter with less demand.
   *
   * @param adapter the adapter's name
   * @param version its announced version, or 0 if none was announced
   * @param requestsPerSecond the demand that is expected at this engine
   * @param nowMillis the current time, in milliseconds
   * @return the commands to carry out
   */
  public List<EngineCommand> loadAhead(
      String adapter, long version, double requestsPerSecond, long nowMillis) {
    List<EngineCommand> commands = new ArrayList<>();
    if (canOrder && model.isPresent() && !awaitingReport && !isUnreachable(nowMillis)) {
      double weight = AdapterDemand.expectedWeight(requestsPerSecond);
      turnover.loadAhead(adapter, version, weight, queue.adapters(), nowMillis, commands);
    }
    return commands;
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
    if (!model.isPresent()) {
      if (canOrder && !queue.isEmpty()) {
        model.order().ifPresent(commands::add);
      }
      return commands;
    }
    Set<String> requested = queue.adapters();
    turnover.begin();
    capacityShort = false;
    int waiting = queue.size();
    for (QueueEntry entry : queue.byUrgency(nowMillis)) {
      decide(entry, requested, nowMillis, commands);
    }
    admission.recordDecision(waiting - queue.size(), capacityShort, nowMillis);
    return commands;
  }

  private void decide(
      QueueEntry entry, Set<String> requested, long nowMillis, List<EngineCommand> commands) {
    PermitRequest request = entry.request();
    Optional<AdapterSlot> slot = slots.find(request.adapter());
    if (request.adapter().isEmpty()) {
      grant(entry, Optional.empty(), nowMillis, commands);
    } else if (slot.isEmpty()) {
      if (canOrder) {
        turnover.loadOrEvict(entry, queue, requested, running, nowMillis, commands);
      }
    } else if (slot.get().state == AdapterSlot.State.RESIDENT) {
      if (canOrder && slot.get().version < request.version()) {
        turnover.replace(slot.get(), request.version(), nowMillis, commands);
      } else if (slot.get().version >= request.version()
          && !turnover.isDraining(request.adapter())) {
        grant(entry, slot, nowMillis, commands);
      }
    }
  }

  private void grant(
      QueueEntry entry, Optional<AdapterSlot> slot, long nowMillis, List<EngineCommand> commands) {
    PermitRequest request = entry.request();
    boolean fits =
        running.fits(request, settings, admission.tokensToLeave(request, nowMillis))
            && backlog.admits(request.promptTokens(), settings.backlogMillis(), nowMillis);
    capacityShort |= !fits;
    if (!fits || !rate.tryTake(nowMillis)) {
      return;
    }
    admission.recordPermit(entry, nowMillis);
    queue.remove(entry.key());
    long prefillMillis = backlog.add(request.promptTokens(), nowMillis);
    running.add(new RunningRequests.Running(entry.host(), request, nowMillis, prefillMillis));
    slot.ifPresent(found -> found.recordStart(nowMillis));
    commands.add(entry.permit(nowMillis));
  }

  private void refuseOverdue(long nowMillis, List<EngineCommand> commands) {
    int ahead = 0;
    for (QueueEntry entry : queue.all()) {
      long rateWaitMillis = rate.waitMillis(ahead, nowMillis);
      if (rateWaitMillis > MAXIMUM_RATE_WAIT_MILLIS) {
        queue.remove(entry.key());
        commands.add(entry.refusal(rateWaitMillis, PermitAnswer.ENDPOINT_LIMIT, nowMillis));
      } else if (!awaitingReport && needsUnavailableOrder(entry.request())) {
        queue.remove(entry.key());
        commands.add(entry.refusal(canOrderInMillis, NO_OWNER, nowMillis));
      } else if (entry.isOverdue(nowMillis)) {
        queue.remove(entry.key());
        commands.add(admission.refuseOverdue(entry, nowMillis));
      } else {
        ahead++;
      }
    }
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
    EngineStatus status =
        isUnreachable(nowMillis)
            ? new EngineStatus(incarnation, owned, List.of(), UNREACHABLE_BACKOFF_MILLIS, 0, 0)
            : new EngineStatus(
                incarnation,
                owned,
                slots.loadedOrLoadingNames(),
                Math.max(
                    admission.prefillMillis(nowMillis), rate.waitMillis(queue.size(), nowMillis)),
                slots.available(),
                queue.adaptersWithoutSlot(slots));
    return status.withLoads(demand.loads(nowMillis));
  }

  /**
   * Returns whether requests wait.
   *
   * @return whether a decision may become due without a further event
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
