package org.lentilhinge.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.identity.CallerId;

/** Shares the starts of one urgency among its callers by start-time fair queueing. */
final class UrgencyClass {

  private final Map<CallerId, CallerQueue> callers = new HashMap<>();
  private double virtualTime;
  private int size;

  int size() {
    return size;
  }

  void add(AdmissionRequest request, int share) {
    CallerQueue queue =
        callers.computeIfAbsent(request.caller(), caller -> new CallerQueue(caller, share));
    if (queue.isEmpty()) {
      queue.raiseVirtualTime(virtualTime);
    }
    queue.requests().addLast(request);
    size++;
  }

  void requeue(AdmissionRequest request, int share) {
    CallerQueue queue =
        callers.computeIfAbsent(request.caller(), caller -> new CallerQueue(caller, share));
    queue.requests().addFirst(request);
    size++;
  }

  AdmissionRequest take() {
    CallerQueue next =
        callers.values().stream()
            .filter(queue -> !queue.isEmpty())
            .min(
                Comparator.comparingDouble(CallerQueue::virtualTime)
                    .thenComparing(CallerQueue::caller))
            .orElseThrow();
    virtualTime = next.virtualTime();
    size--;
    return next.take();
  }

  /** Returns the number of requests that start before a caller's next request. */
  double countAhead(CallerId caller, int share) {
    double ownQueued = 1;
    CallerQueue own = callers.get(caller);
    if (own != null) {
      ownQueued += own.requests().size();
    }
    double ahead = ownQueued - 1;
    for (CallerQueue queue : callers.values()) {
      if (!queue.caller().equals(caller)) {
        ahead += Math.min(queue.requests().size(), ownQueued * queue.share() / share);
      }
    }
    return ahead;
  }

  /**
   * Removes the latest request of the caller with the most waiting requests in relation to its
   * share.
   */
  Optional<AdmissionRequest> shed() {
    Optional<CallerQueue> longest =
        callers.values().stream()
            .filter(queue -> !queue.isEmpty())
            .max(
                Comparator.comparingDouble(CallerQueue::queuedPerShare)
                    .thenComparing(CallerQueue::caller));
    longest.ifPresent(queue -> size--);
    return longest.map(queue -> queue.requests().removeLast());
  }

  List<AdmissionRequest> removeExpired(long nowMillis) {
    if (size == 0) {
      return List.of();
    }
    List<AdmissionRequest> expired = new ArrayList<>();
    for (CallerQueue queue : callers.values()) {
      queue.requests().stream()
          .filter(request -> request.deadlineMillis() <= nowMillis)
          .forEach(expired::add);
      queue.requests().removeIf(request -> request.deadlineMillis() <= nowMillis);
    }
    size -= expired.size();
    return expired;
  }

  boolean remove(AdmissionRequest request) {
    CallerQueue queue = callers.get(request.caller());
    boolean removed = queue != null && queue.requests().remove(request);
    size -= removed ? 1 : 0;
    return removed;
  }
}
