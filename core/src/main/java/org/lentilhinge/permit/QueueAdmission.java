package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which permit requests wait at an engine scheduler, and when the callers of refused ones
 * return.
 */
final class QueueAdmission {

  /** The time to the first event beyond the wait and the prefill, in milliseconds. */
  private static final long OVERHEAD_MILLIS = 60;

  /**
   * The factor by which a wait may exceed the expected one. Without it, 3% of the requests of a
   * load of twice the capacity waited until they were refused.
   */
  private static final double WAIT_MARGIN = 1.25;

  private static final String NO_ROOM = "no-room";
  private static final String TOO_LARGE = "too-large";
  private static final String REPLACEMENT = "replacement-waits";

  private final SchedulerSettings settings;
  private final AdapterSlots slots;
  private final PromptBacklog backlog;
  private final RequestQueue queue;
  private final RunningRequests running;
  private final SlotWaitEstimator slotWaits = new SlotWaitEstimator();
  private final ServiceRate serviceRate = new ServiceRate();
  private final ReturnTimes returnTimes = new ReturnTimes();
  private final MemoryReservation reservation;

  QueueAdmission(
      SchedulerSettings settings,
      AdapterSlots slots,
      PromptBacklog backlog,
      RequestQueue queue,
      RunningRequests running) {
    this.settings = settings;
    this.slots = slots;
    this.backlog = backlog;
    this.queue = queue;
    this.running = running;
    this.reservation = new MemoryReservation(settings.memoryTokens());
  }

  /** Returns whether a request can never run at this engine. */
  boolean isTooLarge(PermitRequest request) {
    return RunningRequests.tokens(request) > settings.maximumRequestTokens();
  }

  /** Refuses a request that can never run at this engine. */
  EngineCommand refuseTooLarge(String host, PermitRequest request, long nowMillis) {
    long retryMillis = expectedWaitMillis(request, nowMillis);
    return EngineCommand.Answer.refusal(host, request, retryMillis, TOO_LARGE, 0);
  }

  /**
   * Adds a request to the queue, or refuses it or waiting ones if not all can be served in time.
   *
   * @return the refusals
   */
  List<EngineCommand> admit(String host, PermitRequest request, long nowMillis) {
    int slotsAhead = needsSlot(request) ? queue.adaptersWithoutSlot(slots) : QueueEntry.NO_SLOT;
    QueueEntry added = new QueueEntry(host, request, nowMillis, slotsAhead);
    long replacementMillis = replacementMillis(request, nowMillis);
    if (replacementMillis > 0 && isLate(added, replacementMillis, nowMillis)) {
      return List.of(added.refusal(replacementMillis, REPLACEMENT, nowMillis));
    }
    if (queue.hasStanding() || added.standing().isPresent()) {
      return admitByStanding(added, nowMillis);
    }
    long waitMillis = expectedWaitMillis(request, nowMillis);
    long boundedMillis =
        isFirstForSlot(added) ? backlogWaitMillis(queue.promptTokens(), nowMillis) : waitMillis;
    if (isLate(added, boundedMillis, nowMillis)) {
      return List.of(added.refusal(waitMillis, NO_ROOM, nowMillis));
    }
    queue.add(added);
    return List.of();
  }

  /**
   * Returns the predicted time until the runs end for which the replacement of an adapter waits;
   * meanwhile the engine runs no other request on it. Another engine may load the new version.
   */
  private long replacementMillis(PermitRequest request, long nowMillis) {
    return slots
        .find(request.adapter())
        .filter(slot -> slot.state == AdapterSlot.State.REPLACING)
        .map(slot -> running.predictedEndAtMillis(slot.adapter) - nowMillis)
        .filter(millis -> millis > 0)
        .orElse(0L);
  }

  /**
   * Returns whether a request that states its longest wait is for the only adapter without a slot.
   * Its slot wait does not count: the estimate is corrected only by requests that wait, and slots
   * are freed only for these, so that an estimate above the stated waits would last forever.
   */
  private static boolean isFirstForSlot(QueueEntry added) {
    return added.slotsAhead() == 0
        && QueueEntry.maximumWaitMillis(added.request()) < Long.MAX_VALUE;
  }

  private List<EngineCommand> admitByStanding(QueueEntry added, long nowMillis) {
    queue.add(added);
    List<QueueEntry> refused = selectRefused(added, nowMillis);
    List<EngineCommand> refusals = new ArrayList<>();
    for (QueueEntry entry : refused) {
      if (entry.equals(added)) {
        queue.restoreRuns(entry);
      }
      queue.remove(entry.key());
      String reason = entry.equals(added) ? NO_ROOM : PermitAnswer.DISPLACED;
      refusals.add(refuse(entry, reason, nowMillis));
    }
    return refusals;
  }

  /** Selects the request that arrived last, or those that are refused in favor of it. */
  private List<QueueEntry> selectRefused(QueueEntry added, long nowMillis) {
    List<QueueEntry> sorted = queue.byUrgency(nowMillis);
    List<QueueEntry> refused = new ArrayList<>();
    List<QueueEntry> candidates = candidates(sorted, added, nowMillis);
    while (!candidates.isEmpty()) {
      QueueEntry selected = queue.order().selectRefused(candidates, added, nowMillis);
      if (selected.equals(added)) {
        return List.of(added);
      }
      refused.add(selected);
      sorted.remove(selected);
      candidates = candidates(sorted, added, nowMillis);
    }
    return refused;
  }

  /**
   * Returns the requests whose refusal shortens the wait of the first request that can no longer be
   * served in time because of the one that arrived last; empty if there is none.
   */
  private List<QueueEntry> candidates(List<QueueEntry> sorted, QueueEntry added, long nowMillis) {
    Set<String> absent = new HashSet<>();
    long tokensAhead = 0;
    boolean affected = false;
    for (int index = 0; index < sorted.size(); index++) {
      QueueEntry entry = sorted.get(index);
      affected |= entry.equals(added);
      long slotMillis = slotWaitMillis(entry, absent);
      if (affected) {
        long waitMillis =
            Math.max(backlogWaitMillis(tokensAhead, nowMillis), serviceRate.waitMillis(index + 1));
        if (isUnservable(entry, waitMillis, nowMillis)) {
          return sorted.subList(0, index + 1);
        }
        if (isUnservable(entry, slotMillis, nowMillis)) {
          return slotCandidates(sorted.subList(0, index + 1));
        }
      }
      tokensAhead += entry.request().promptTokens();
    }
    return List.of();
  }

  /**
   * Returns the expected wait for a slot of the first request for an adapter without one. Further
   * requests for the adapter use the same slot. The first adapter counts as one without a wait, so
   * that one always waits and corrects the estimate.
   */
  private long slotWaitMillis(QueueEntry entry, Set<String> absent) {
    String adapter = entry.request().adapter();
    if (!isWithoutSlot(entry) || slots.available() > 0 || !absent.add(adapter)) {
      return 0;
    }
    int slotsAhead = absent.size() - 1;
    return slotsAhead == 0 ? 0 : slotWaits.expectedWaitMillis(slotsAhead);
  }

  private boolean isWithoutSlot(QueueEntry entry) {
    String adapter = entry.request().adapter();
    return !adapter.isEmpty() && slots.find(adapter).isEmpty();
  }

  private boolean isAdapterLoaded(String adapter) {
    return adapter.isEmpty()
        || slots.find(adapter).filter(slot -> slot.state == AdapterSlot.State.RESIDENT).isPresent();
  }

  /** Returns the requests without which an adapter less waits for a slot, and the last one. */
  private List<QueueEntry> slotCandidates(List<QueueEntry> ahead) {
    Map<String, Integer> counts = new HashMap<>();
    ahead.forEach(entry -> counts.merge(entry.request().adapter(), 1, Integer::sum));
    List<QueueEntry> candidates = new ArrayList<>(ahead);
    QueueEntry last = ahead.get(ahead.size() - 1);
    candidates.removeIf(
        entry ->
            !entry.equals(last)
                && (!isWithoutSlot(entry) || counts.get(entry.request().adapter()) > 1));
    return candidates;
  }

  /** Returns whether a request would be refused while it waits, or served too late. */
  private boolean isUnservable(QueueEntry entry, long waitMillis, long nowMillis) {
    long longestMillis = Math.round(waitMillis * WAIT_MARGIN);
    boolean refused = waitMillis > 0 && entry.isOverdue(nowMillis + longestMillis);
    return refused || isLate(entry, waitMillis, nowMillis);
  }

  private boolean isLate(QueueEntry entry, long waitMillis, long nowMillis) {
    PermitRequest request = entry.request();
    long firstMillis = waitMillis + backlog.prefillMillis(request.promptTokens()) + OVERHEAD_MILLIS;
    return firstMillis > entry.targetAtMillis() - nowMillis
            && waitMillis > QueueEntry.MINIMUM_RUN_MILLIS
        || waitMillis > QueueEntry.maximumWaitMillis(request) - entry.waitedMillis(nowMillis);
  }

  /** Refuses a request for want of capacity. */
  EngineCommand refuse(QueueEntry entry, String reason, long nowMillis) {
    long waitMillis = expectedWaitMillis(entry.request(), nowMillis);
    if (entry.standing().isEmpty()) {
      return entry.refusal(waitMillis, reason, nowMillis);
    }
    queue.recordRefusal(entry);
    if (isAdapterLoaded(entry.request().adapter())) {
      // Free memory would not have served a request whose adapter is absent or still loads.
      reservation.recordRefusal(entry.request(), nowMillis);
    }
    double intervalMillis = serviceRate.millisPerPermit();
    if (intervalMillis == 0) {
      intervalMillis = backlog.prefillMillis(entry.request().promptTokens());
    }
    waitMillis = Math.max(waitMillis, serviceRate.waitMillis(queue.size()));
    long returnMillis = returnTimes.next(entry, waitMillis, intervalMillis, nowMillis);
    return entry.refusal(returnMillis, reason, nowMillis);
  }

  /** Refuses a request that has waited for too long. */
  EngineCommand refuseOverdue(QueueEntry entry, long nowMillis) {
    recordSlotWait(entry, nowMillis);
    return refuse(entry, "waited-in-vain", nowMillis);
  }

  /** Records that a waiting request got a permit. */
  void recordPermit(QueueEntry entry, long nowMillis) {
    recordSlotWait(entry, nowMillis);
    queue.recordPermit(entry);
    reservation.recordPermit(entry.request());
  }

  /** Returns the number of tokens that a request has to leave free in the engine's memory. */
  int tokensToLeave(PermitRequest request, long nowMillis) {
    return reservation.tokensToLeave(request, nowMillis);
  }

  private void recordSlotWait(QueueEntry entry, long nowMillis) {
    if (entry.waitsForSlot()) {
      slotWaits.recordWait(entry.slotsAhead(), entry.waitedMillis(nowMillis));
    }
  }

  /** Records how many permits a decision issued, and whether a request waits for capacity. */
  void recordDecision(int issued, boolean capacityShort, long nowMillis) {
    serviceRate.record(issued, capacityShort, nowMillis);
  }

  private long expectedWaitMillis(PermitRequest request, long nowMillis) {
    long prefillMillis = backlogWaitMillis(queue.promptTokens(), nowMillis);
    return needsSlot(request)
        ? Math.max(prefillMillis, slotWaits.expectedWaitMillis(queue.adaptersWithoutSlot(slots)))
        : prefillMillis;
  }

  private long backlogWaitMillis(long tokensAhead, long nowMillis) {
    return Math.max(0, prefillMillis(tokensAhead, nowMillis) - settings.backlogMillis());
  }

  /** Returns the time until the prefill of all prompts ends, in milliseconds. */
  long prefillMillis(long nowMillis) {
    return prefillMillis(queue.promptTokens(), nowMillis);
  }

  private long prefillMillis(long tokensAhead, long nowMillis) {
    return backlog.remainingMillis(nowMillis) + backlog.prefillMillis(tokensAhead);
  }

  private boolean needsSlot(PermitRequest request) {
    return !request.adapter().isEmpty()
        && slots.find(request.adapter()).isEmpty()
        && slots.available() == 0
        && !queue.hasAdapter(request.adapter());
  }
}
