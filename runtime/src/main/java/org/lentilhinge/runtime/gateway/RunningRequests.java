package org.lentilhinge.runtime.gateway;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.configuration.Caller;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.RequestId;

/**
 * Registry of the requests running on this host. Enforces each caller's limit of concurrent
 * requests, and lets a stop wait until all requests have ended.
 */
public final class RunningRequests {

  private final Map<RequestId, CallerId> callersByRequest = new LinkedHashMap<>();
  private final Map<CallerId, Integer> countsByCaller = new HashMap<>();
  private final CompletableSubject drained = CompletableSubject.create();
  private boolean draining;

  /**
   * Adds a request, unless its caller has reached its limit.
   *
   * @param request the request id
   * @param caller its caller
   * @return false if the caller has reached its limit of concurrent requests on this host
   */
  synchronized boolean tryAdd(RequestId request, Caller caller) {
    int count = countsByCaller.getOrDefault(caller.id(), 0);
    if (count >= caller.maximumConcurrent()) {
      return false;
    }
    countsByCaller.put(caller.id(), count + 1);
    callersByRequest.put(request, caller.id());
    return true;
  }

  /**
   * Removes a request. Does nothing if the request has already been removed.
   *
   * @param request the request id
   */
  void remove(RequestId request) {
    boolean last;
    synchronized (this) {
      CallerId caller = callersByRequest.remove(request);
      if (caller == null) {
        return;
      }
      countsByCaller.computeIfPresent(caller, (ignored, count) -> count == 1 ? null : count - 1);
      last = draining && callersByRequest.isEmpty();
    }
    if (last) {
      drained.onComplete();
    }
  }

  /**
   * Starts draining, after which new requests must be refused.
   *
   * @return completes when no request is running
   */
  public Completable drain() {
    boolean empty;
    synchronized (this) {
      draining = true;
      empty = callersByRequest.isEmpty();
    }
    if (empty) {
      drained.onComplete();
    }
    return drained;
  }

  /**
   * Returns whether new requests must be refused.
   *
   * @return whether draining has started
   */
  public synchronized boolean isDraining() {
    return draining;
  }

  /**
   * Returns the number of running requests.
   *
   * @return the number
   */
  public synchronized int size() {
    return callersByRequest.size();
  }

  /**
   * Returns the running requests.
   *
   * @return the request ids, oldest first
   */
  public synchronized List<RequestId> requests() {
    return List.copyOf(callersByRequest.keySet());
  }
}
