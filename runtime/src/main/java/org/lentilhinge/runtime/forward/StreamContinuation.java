package org.lentilhinge.runtime.forward;

import java.util.Optional;
import java.util.function.Consumer;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.resume.StreamOrigin;
import org.lentilhinge.resume.StreamOriginExchange;

/** Keeps the stream of one request, and of those that resume it, at one software version. */
final class StreamContinuation {

  /**
   * The age of a stream that is resumed, in timeouts of its route at most. Callers resume a stream
   * within their own time limit.
   */
  private static final long AGE_TIMEOUTS = 2;

  private final HostContext context;
  private final StreamOriginExchange origins;
  private final RequestMetadata requestMetadata;
  private final ForwardRoute route;
  private final String service;

  StreamContinuation(
      HostContext context,
      StreamOriginExchange origins,
      RequestMetadata requestMetadata,
      ForwardRoute route,
      String service) {
    this.context = context;
    this.origins = origins;
    this.requestMetadata = requestMetadata;
    this.route = route;
    this.service = service;
  }

  /** Indicates whether the caller has received the beginning of the stream already. */
  boolean isResumed() {
    return route.resumable() && requestMetadata.resumeAfter().isPresent();
  }

  /** Returns the time within which a stream began that a caller still resumes, in milliseconds. */
  long maximumAgeMillis() {
    return AGE_TIMEOUTS * route.timeoutMillis();
  }

  /** Finds the version that began the stream; calls back with empty if it cannot be known. */
  void findVersion(Consumer<Optional<String>> callback) {
    String first = requestMetadata.resumedRequestId().orElse("");
    origins.find(first, service, maximumAgeMillis(), context.now(), callback);
  }

  /** Records the endpoint whose events the caller receives. */
  void recordStart(FleetEndpoint endpoint) {
    requestMetadata
        .resumedRequestId()
        .or(requestMetadata::requestId)
        .map(first -> new StreamOrigin(first, service, endpoint.softwareVersion()))
        .ifPresent(origin -> origins.record(origin, maximumAgeMillis(), context.now()));
  }
}
