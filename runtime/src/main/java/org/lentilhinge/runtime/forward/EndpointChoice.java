package org.lentilhinge.runtime.forward;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.dispatch.SendObstacle;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.forward.ZoneCosts;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.permit.PermitAnswer;

/** Chooses the endpoints for one request, one after the other. */
final class EndpointChoice {

  /** The maximum number of permit requests; after that the caller has to retry later. */
  private static final int MAXIMUM_PERMIT_REQUESTS = 3;

  private final HostState state;
  private final HostContext context;
  private final String service;
  private final String adapter;
  private final RequestMetadata request;
  private final long choiceHash;
  private final Set<String> excluded = new HashSet<>();
  private final SendCheck sendCheck;
  private int permitRequests;

  /**
   * Creates a choice for a new request.
   *
   * @param service the name of the service
   * @param request the metadata of the request
   */
  EndpointChoice(HostState state, HostContext context, String service, RequestMetadata request) {
    this.state = state;
    this.context = context;
    this.service = service;
    this.request = request;
    adapter = request.generation().map(RequestMetadata.Generation::adapter).orElse("");
    choiceHash = RendezvousHash.hash(request.requestId().orElse(""));
    this.sendCheck = new SendCheck(state, context, request);
  }

  /** Returns the check that applies to each endpoint of the request. */
  SendCheck sendCheck() {
    return sendCheck;
  }

  /** Returns the best endpoint that is left; empty if the request must be refused. */
  Optional<FleetEndpoint> next() {
    ZoneTraffic.Choice traffic =
        state.zoneTraffic().choice(service, isEngineService(), request, choiceHash);
    Optional<FleetEndpoint> next = next(traffic.zones());
    next.ifPresent(traffic::record);
    return next;
  }

  private Optional<FleetEndpoint> next(ZoneCosts zones) {
    if (!isEngineService()) {
      return nextPlain(zones);
    }
    return isOutOfPermitRequests() ? Optional.empty() : nextEngine(zones);
  }

  private Optional<FleetEndpoint> nextEngine(ZoneCosts zones) {
    return state
        .engineSelector()
        .select(
            usable(),
            unavailable(),
            adapter,
            zones,
            engine -> state.scores().failureCostMillis(engine.incarnation(), context.now()),
            choiceHash,
            context.now());
  }

  private Optional<FleetEndpoint> nextPlain(ZoneCosts zones) {
    Set<String> unavailable = unavailable();
    if (isOutOfPermitRequests()) {
      limitedEndpoints().forEach(endpoint -> unavailable.add(endpoint.incarnation()));
    }
    return state.scores().select(usable(), unavailable, zones, context.now());
  }

  /** Returns the excluded endpoints and those that are paused or at their limit for now. */
  private Set<String> unavailable() {
    Set<String> unavailable = state.limits().exhausted(context.now());
    unavailable.addAll(excluded);
    pausedEndpoints().forEach(endpoint -> unavailable.add(endpoint.incarnation()));
    return unavailable;
  }

  /** Returns the endpoints that the request may be sent to, now or after a pause. */
  private Collection<FleetEndpoint> usable() {
    return state.endpoints().usableEndpoints(service).stream()
        .filter(
            endpoint ->
                sendCheck
                    .find(endpoint)
                    .filter(obstacle -> obstacle != SendObstacle.PAUSED)
                    .isEmpty())
        .toList();
  }

  private List<FleetEndpoint> pausedEndpoints() {
    return usable().stream().filter(endpoint -> sendCheck.find(endpoint).isPresent()).toList();
  }

  private boolean isOutOfPermitRequests() {
    return permitRequests >= MAXIMUM_PERMIT_REQUESTS;
  }

  boolean isEngineService() {
    return state.service(service).flatMap(ForwardService::engine).isPresent();
  }

  /** Indicates whether the request may be sent only with a permit. */
  boolean needsPermit(FleetEndpoint endpoint) {
    return isEngineService() || state.limits().find(endpoint.incarnation()).isPresent();
  }

  void recordPermitRequest() {
    permitRequests++;
  }

  /**
   * Returns the times for the permit request that was recorded last. Where adapters are spread over
   * several engines, a long wait for one of them would take the time for the others.
   */
  RequestPermit.Times permitTimes(long targetMillis, long elapsedMillis, long remainingMillis) {
    boolean spread = !state.engineSelector().demand().spread(context.now()).isEmpty();
    return new RequestPermit.Times(
        targetMillis - elapsedMillis,
        remainingMillis,
        spread ? targetMillis / MAXIMUM_PERMIT_REQUESTS : 0,
        permitRequests > 1);
  }

  /** Withdraws a permit request that ended because the endpoint must not be used. */
  void withdrawPermitRequest() {
    permitRequests--;
  }

  /** Excludes an endpoint that was tried or whose permit was refused. */
  void exclude(FleetEndpoint endpoint) {
    excluded.add(endpoint.incarnation());
  }

  /** Returns why no endpoint is left, for the log. */
  String missingReason() {
    if (sendCheck.isRestricted() && usable().isEmpty()) {
      return "no-endpoint-of-version";
    }
    if (sendCheck.isBodyRefused() && usable().isEmpty()) {
      return SendObstacle.BODIES_UNREAD.reason();
    }
    if (isEngineService() && isOutOfPermitRequests()) {
      return "no-room";
    }
    if (isPaused()) {
      return SendObstacle.PAUSED.reason();
    }
    if (!limitedEndpoints().isEmpty()) {
      return PermitAnswer.ENDPOINT_LIMIT;
    }
    return isEngineService() ? "no-engine" : "no-endpoint";
  }

  /** Indicates whether all endpoints that the request may be sent to are paused. */
  private boolean isPaused() {
    return !usable().isEmpty() && pausedEndpoints().size() == usable().size();
  }

  /** Returns the time after which an endpoint that is paused or at its limit may be used again. */
  OptionalLong retryMillis() {
    if (isPaused()) {
      return pausedEndpoints().stream()
          .mapToLong(
              endpoint -> state.pauses().remainingMillis(endpoint.incarnation(), context.now()))
          .min();
    }
    return limitedEndpoints().stream()
        .mapToLong(endpoint -> state.limits().retryMillis(endpoint.incarnation(), context.now()))
        .min();
  }

  private List<FleetEndpoint> limitedEndpoints() {
    return usable().stream()
        .filter(endpoint -> state.limits().find(endpoint.incarnation()).isPresent())
        .toList();
  }
}
