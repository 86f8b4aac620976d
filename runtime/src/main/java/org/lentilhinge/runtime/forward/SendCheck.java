package org.lentilhinge.runtime.forward;

import java.util.Optional;
import org.lentilhinge.dispatch.SendCondition;
import org.lentilhinge.dispatch.SendObstacle;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.runtime.memory.EndpointBodies;

/**
 * Decides whether one request may be sent to an endpoint now. Applies when an endpoint is chosen,
 * and again right before the send, after all waits for a permit or a connection.
 */
final class SendCheck {

  private final HostState state;
  private final HostContext context;
  private final RequestMetadata request;
  private Optional<String> softwareVersion = Optional.empty();
  private Optional<EndpointBodies.Body> body = Optional.empty();

  SendCheck(HostState state, HostContext context, RequestMetadata request) {
    this.state = state;
    this.context = context;
    this.request = request;
  }

  /** Restricts the request to endpoints with a version of the software. */
  void restrictTo(String version) {
    softwareVersion = Optional.of(version);
  }

  /** Restricts the request to endpoints with room for its body. */
  void limitBody(EndpointBodies.Body requestBody) {
    body = Optional.of(requestBody);
  }

  /** Indicates whether an endpoint was passed over because it has no room for the body. */
  boolean isBodyRefused() {
    return body.filter(EndpointBodies.Body::isRefused).isPresent();
  }

  /** Records that the request is being sent to an endpoint. */
  void recordSent(FleetEndpoint endpoint) {
    state.zoneTraffic().recordSent(endpoint, request);
    body.ifPresent(sent -> sent.begin(endpoint.incarnation()));
  }

  /** Records that an endpoint has accepted the body, or that the attempt has ended. */
  void recordBodyEnd() {
    body.ifPresent(EndpointBodies.Body::end);
  }

  boolean isRestricted() {
    return softwareVersion.isPresent();
  }

  /** Returns why the request must not be sent to an endpoint now; empty if it may be. */
  Optional<SendObstacle> find(FleetEndpoint endpoint) {
    if (softwareVersion
        .filter(version -> !version.equals(endpoint.softwareVersion()))
        .isPresent()) {
      return Optional.of(SendObstacle.OTHER_VERSION);
    }
    for (SendCondition condition : state.sendConditions()) {
      Optional<SendObstacle> obstacle = condition.check(endpoint, context.now());
      if (obstacle.isPresent()) {
        return obstacle;
      }
    }
    boolean room = body.map(sent -> sent.hasRoom(endpoint.incarnation())).orElse(true);
    return room ? Optional.empty() : Optional.of(SendObstacle.BODIES_UNREAD);
  }
}
