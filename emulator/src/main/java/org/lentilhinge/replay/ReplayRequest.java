package org.lentilhinge.replay;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.routing.ClassifiedRequest;
import org.lentilhinge.routing.RoutingRequest;

/** Tracks one request through the replay. */
final class ReplayRequest {

  private final RequestId id;
  private final Arrival arrival;
  private final ClassifiedRequest classified;
  private final long deadlineMillis;
  private final Set<EndpointId> excludedEndpoints = new HashSet<>();
  private Optional<EndpointId> endpoint = Optional.empty();
  private long waitingSinceMillis;
  private long stalledMillis;
  private long firstTokenMillis = -1;
  private int tokens;

  ReplayRequest(RequestId id, Arrival arrival, ClassifiedRequest classified, long deadlineMillis) {
    this.id = id;
    this.arrival = arrival;
    this.classified = classified;
    this.deadlineMillis = deadlineMillis;
  }

  RequestId id() {
    return id;
  }

  Arrival arrival() {
    return arrival;
  }

  ClassifiedRequest classified() {
    return classified;
  }

  long deadlineMillis() {
    return deadlineMillis;
  }

  RoutingRequest toRoutingRequest() {
    return new RoutingRequest(
        classified, excludedEndpoints, OptionalLong.of(arrival.promptPrefix()), deadlineMillis);
  }

  void exclude(EndpointId declined) {
    excludedEndpoints.add(declined);
  }

  void clearExclusions() {
    excludedEndpoints.clear();
  }

  Optional<EndpointId> endpoint() {
    return endpoint;
  }

  void assign(EndpointId assigned, long nowMillis) {
    endpoint = Optional.of(assigned);
    waitingSinceMillis = nowMillis;
  }

  /**
   * Ends a wait for a grant. The wait counts as a stall if it exceeds the round-trip time of the
   * messages, in milliseconds.
   */
  void endWait(long roundTripMillis, long nowMillis) {
    long waitedMillis = nowMillis - waitingSinceMillis;
    if (waitedMillis > roundTripMillis) {
      stalledMillis += waitedMillis;
    }
  }

  long stalledMillis() {
    return stalledMillis;
  }

  /** Records a generated token. Returns whether the response is complete. */
  boolean recordToken(long nowMillis) {
    if (firstTokenMillis < 0) {
      firstTokenMillis = nowMillis;
    }
    tokens++;
    return tokens >= arrival.outputTokens();
  }

  long firstTokenMillis() {
    return firstTokenMillis;
  }
}
