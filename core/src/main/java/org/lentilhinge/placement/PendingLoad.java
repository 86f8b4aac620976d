package org.lentilhinge.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.HostId;

/** Tracks one load and the gateways that wait for it. */
final class PendingLoad {

  private static final double MILLIS_PER_SECOND = 1000.0;

  private record Waiter(Urgency urgency, int requests, long waitingSinceMillis) {}

  private final AdapterVersion version;
  private final PlacementReason reason;
  private final long pendingSinceMillis;
  private final Map<HostId, Waiter> waiters = new LinkedHashMap<>();
  private boolean started;

  PendingLoad(AdapterVersion version, PlacementReason reason, long pendingSinceMillis) {
    this.version = version;
    this.reason = reason;
    this.pendingSinceMillis = pendingSinceMillis;
  }

  LoadDemand demand(long nowMillis) {
    return new LoadDemand(version, reason, pendingSinceMillis, waitingRequestSeconds(nowMillis));
  }

  AdapterVersion version() {
    return version;
  }

  boolean isStarted() {
    return started;
  }

  /** Marks the load as holding a permit of the store. */
  void markStarted() {
    started = true;
  }

  /** Marks the load as not started, so that it can be started again. */
  void markNotStarted() {
    started = false;
  }

  boolean hasWaiters() {
    return !waiters.isEmpty();
  }

  Iterable<HostId> gateways() {
    return waiters.keySet();
  }

  int requests() {
    return waiters.values().stream().mapToInt(Waiter::requests).sum();
  }

  /** Adds or replaces a gateway's request. Returns the number of requests by which it has grown. */
  int add(LoadRequest request, long nowMillis) {
    Waiter previous = waiters.get(request.gateway());
    long waitingSinceMillis = previous == null ? nowMillis : previous.waitingSinceMillis();
    waiters.put(
        request.gateway(), new Waiter(request.urgency(), request.requests(), waitingSinceMillis));
    int previousRequests = previous == null ? 0 : previous.requests();
    return Math.max(0, request.requests() - previousRequests);
  }

  void remove(HostId gateway) {
    waiters.remove(gateway);
  }

  void removeAll() {
    waiters.clear();
  }

  /** Returns the gateways that have waited longer than a limit. */
  Iterable<HostId> expired(long limitMillis, long nowMillis) {
    return waiters.entrySet().stream()
        .filter(entry -> nowMillis - entry.getValue().waitingSinceMillis() > limitMillis)
        .map(Map.Entry::getKey)
        .toList();
  }

  private double waitingRequestSeconds(long nowMillis) {
    double sum = 0;
    for (Waiter waiter : waiters.values()) {
      double seconds = (nowMillis - waiter.waitingSinceMillis() + 1) / MILLIS_PER_SECOND;
      sum += seconds * waiter.requests() * weight(waiter.urgency());
    }
    return sum;
  }

  private static double weight(Urgency urgency) {
    return switch (urgency) {
      case URGENT -> 4;
      case NORMAL -> 2;
      case BACKGROUND -> 1;
    };
  }
}
