package org.lentilhinge.host;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.routing.RoutingReason;

/** Tracks a request from its arrival to its dispatch. */
final class GatewayProgress {

  /** The stage that the request has reached. */
  enum Stage {
    /** The request waits in the admission queue. */
    QUEUED,
    /** The request waits for the owner's grant. */
    ASKING,
    /** The request waits to be routed again. */
    POSTPONED,
    /** The request was dispatched to an engine. */
    DISPATCHED
  }

  private final long arrivedAtMillis;
  private final Set<EndpointId> declined = new HashSet<>();
  private GatewayRequest request;
  private Stage stage = Stage.QUEUED;
  private Optional<EndpointId> endpoint = Optional.empty();
  private RoutingReason routingReason = RoutingReason.NO_ENDPOINT;
  private RefusalReason lastDecline = RefusalReason.NO_ENDPOINT;
  private long grantRequestedAtMillis;
  private long grantWaitMillis;
  private long rerouteAtMillis;

  GatewayProgress(GatewayRequest request, long nowMillis) {
    this.request = request;
    this.arrivedAtMillis = nowMillis;
  }

  GatewayRequest request() {
    return request;
  }

  Stage stage() {
    return stage;
  }

  Optional<EndpointId> endpoint() {
    return endpoint;
  }

  RoutingReason routingReason() {
    return routingReason;
  }

  RefusalReason lastDecline() {
    return lastDecline;
  }

  long grantWaitMillis() {
    return grantWaitMillis;
  }

  long waitedMillis(long nowMillis) {
    return nowMillis - arrivedAtMillis;
  }

  boolean isOverdue(long nowMillis) {
    return stage != Stage.DISPATCHED && nowMillis >= request.deadlineAtMillis();
  }

  boolean isRouteDue(long nowMillis) {
    return stage == Stage.POSTPONED && nowMillis >= rerouteAtMillis;
  }

  /** Returns the endpoints that routing must not select. */
  Set<EndpointId> excluded() {
    Set<EndpointId> excluded = new HashSet<>(declined);
    excluded.addAll(request.excluded());
    return excluded;
  }

  /** Starts the next attempt, which does not pass through the admission queue again. */
  void startNextAttempt(GatewayRequest next) {
    request = next;
    stage = Stage.POSTPONED;
    endpoint = Optional.empty();
    rerouteAtMillis = 0;
  }

  void recordGrantRequest(EndpointId requested, RoutingReason reason, long nowMillis) {
    stage = Stage.ASKING;
    endpoint = Optional.of(requested);
    routingReason = reason;
    grantRequestedAtMillis = nowMillis;
  }

  void recordDispatch(long nowMillis) {
    stage = Stage.DISPATCHED;
    grantWaitMillis += nowMillis - grantRequestedAtMillis;
  }

  void recordDecline(EndpointId declining, RefusalReason reason, long nowMillis) {
    declined.add(declining);
    lastDecline = reason;
    grantWaitMillis += nowMillis - grantRequestedAtMillis;
    endpoint = Optional.empty();
  }

  /** Returns whether an endpoint has declined since the request was last postponed. */
  boolean wasDeclined() {
    return !declined.isEmpty();
  }

  /**
   * Postpones the request and clears its declines, so that the same endpoints can be tried again.
   */
  void postpone(long untilMillis) {
    stage = Stage.POSTPONED;
    endpoint = Optional.empty();
    declined.clear();
    rerouteAtMillis = untilMillis;
  }
}
