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
 * requests, and drains the requests on stop.
 */
public final class RunningRequests {

  private final Map<RequestId, CallerId> running = new LinkedHashMap<>();
  private final Map<CallerId, Integer> counts = new HashMap<>();
  private final CompletableSubject idle = CompletableSubject.create();
  private boolean draining;

  /**
   * Adds a request, unless its caller has reached its limit.
   *
   * @param request the request id
   * @param caller its caller
   * @return false if the caller has reached its limit of concurrent requests on this host
   */
  synchronized boolean enter(RequestId request, Caller caller) {
    int count = counts.getOrDefault(caller.id(), 0);
    if (count >= caller.maximumConcurrent()) {
      return false;
    }
    counts.put(caller.id(), count + 1);
    running.put(request, caller.id());
    return true;
  }

  /**
   * Removes a request. Does nothing if the request has already been removed.
   *
   * @param request the request id
   */
  void leave(RequestId request) {
    boolean last;
    synchronized (this) {
      CallerId caller = running.remove(request);
      if (caller == null) {
        return;
      }
      counts.computeIfPresent(caller, (ignored, count) -> count == 1 ? null : count - 1);
      last = draining && running.isEmpty();
    }
    if (last) {
      idle.onComplete();
    }
  }

  /**
   * Starts draining. New requests must be refused from now on.
   *
   * @return completes when no request is running
   */
  public Completable drain() {
    boolean empty;
    synchronized (this) {
      draining = true;
      empty = running.isEmpty();
    }
    if (empty) {
      idle.onComplete();
    }
    return idle;
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
    return running.size();
  }

  /**
   * Returns the running requests.
   *
   * @return the request ids, oldest first
   */
  public synchronized List<RequestId> list() {
    return List.copyOf(running.keySet());
  }
}
