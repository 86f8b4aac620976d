package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.dispatch.EndpointPauses;
import org.lentilhinge.dispatch.SendObstacle;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.AttemptOutcome;
import org.lentilhinge.quarantine.RequestRun;

/** An endpoint that receives a request over a connection of this host. */
final class EndpointTarget implements AttemptTarget {

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int MISDIRECTED = 421;

  private final Forwarder forwarder;
  private final HostContext context;
  private final ForwardedRequest request;
  private final FleetEndpoint endpoint;
  private final EndpointRequestMetadata metadata;
  private final SendCheck sendCheck;
  private final boolean repeatable;
  private final long startedAtMillis;
  private boolean sent;
  private boolean responded;

  /** Whether the end of the attempt is no failure of the endpoint. */
  private boolean excused;

  /**
   * Creates a target for one attempt.
   *
   * @param repeatable whether the request may be sent on a connection that may have ended
   */
  EndpointTarget(
      Forwarder forwarder,
      ForwardedRequest request,
      FleetEndpoint endpoint,
      EndpointRequestMetadata metadata,
      SendCheck sendCheck,
      boolean repeatable) {
    this.forwarder = forwarder;
    this.context = forwarder.context();
    this.request = request;
    this.endpoint = endpoint;
    this.metadata = metadata;
    this.sendCheck = sendCheck;
    this.repeatable = repeatable;
    this.startedAtMillis = context.now();
  }

  @Override
  public String name() {
    return endpoint.id();
  }

  @Override
  public Future<EndpointConnection> connect(Optional<String> requestId) {
    forwarder.state().scores().recordStart(endpoint.incarnation());
    return forwarder.paths().connect(endpoint, requestId, repeatable);
  }

  @Override
  public Optional<String> obstacle() {
    Optional<SendObstacle> obstacle = sendCheck.find(endpoint);
    excused = obstacle.isPresent();
    return obstacle.map(SendObstacle::reason);
  }

  @Override
  public void prepare(HttpHeaders headers) {
    headers.remove(HostRelay.HEADER);
    forwarder.headerTranslator().prepare(headers, metadata);
  }

  @Override
  public void recordSent() {
    sent = true;
    sendCheck.recordSent(endpoint);
    forwarder.paths().recordRequest(endpoint);
  }

  @Override
  public void recordWritten() {
    sendCheck.recordBodyEnd();
  }

  @Override
  public void recordHead(int status, ResponseMetadata head, HttpHeaders headers) {
    responded = true;
    forwarder.paths().recordResponse(endpoint);
    recordLimit(head);
    if (head.leaving()) {
      forwarder.departures().recordResponse(endpoint);
    }
    if (status == SERVICE_UNAVAILABLE) {
      head.retryAfterMillis().ifPresent(this::recordPause);
    }
  }

  /** Records the stated limit, or its end if the response certainly is the endpoint's own. */
  private void recordLimit(ResponseMetadata head) {
    boolean certain = head.signed() || head.notExecuted();
    head.requestLimit()
        .filter(limit -> certain || !limit.isUnlimited())
        .ifPresent(limit -> forwarder.limits().recordResponse(endpoint, limit, startedAtMillis));
  }

  private void recordPause(long pauseMillis) {
    excused = true;
    EndpointPauses pauses = forwarder.state().pauses();
    if (pauses.record(endpoint.incarnation(), pauseMillis, context.now())) {
      context.log().line("endpoint-paused", "endpoint", endpoint.incarnation(), "ms", pauseMillis);
    }
  }

  @Override
  public void recordPart() {
    forwarder.paths().recordProgress();
  }

  @Override
  public boolean isRefusal(int status, ResponseMetadata head) {
    return head.notExecuted() || status == MISDIRECTED;
  }

  @Override
  public void recordStreamStarted() {
    request.onStreamStarted(endpoint);
  }

  @Override
  public void recordSurvived(List<String> parts, String digest) {
    forwarder.quarantine().recordSurvived(run(parts, digest));
  }

  @Override
  public void recordBroken(List<String> parts, String digest) {
    forwarder.quarantine().recordBroken(run(parts, digest));
  }

  private RequestRun run(List<String> parts, String digest) {
    return new RequestRun(endpoint.incarnation(), parts, digest, startedAtMillis);
  }

  @Override
  public void recordEnd(AttemptOutcome outcome, String reason, int status) {
    String incarnation = endpoint.incarnation();
    long now = context.now();
    sendCheck.recordBodyEnd();
    if (sent) {
      boolean broken = !responded && EndpointAttempt.CONNECTION_ENDED.contains(reason);
      forwarder.paths().recordRequestEnd(endpoint, broken);
    }
    boolean failed =
        !reason.equals(EndpointAttempt.CANCELLED)
            && (outcome != AttemptOutcome.ANSWERED || status >= 500);
    if (excused || forwarder.paths().isCutOff()) {
      forwarder.state().scores().recordUnrated(incarnation);
    } else {
      forwarder.state().scores().recordEnd(incarnation, failed, now - startedAtMillis, now);
      if (reason.equals(EndpointAttempt.NO_CONNECTION)) {
        forwarder.state().scores().recordUnreachable(incarnation, now);
      }
    }
  }

  @Override
  public boolean mayReplaceFailure() {
    return true;
  }

  @Override
  public boolean endsRequest() {
    return false;
  }
}
