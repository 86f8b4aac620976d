package org.lentilhinge.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.lentilhinge.admission.AdmissionCommand;
import org.lentilhinge.admission.AdmissionQueue;
import org.lentilhinge.admission.AdmissionRequest;
import org.lentilhinge.admission.AdmissionSettings;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.placement.EngineAnnouncement;
import org.lentilhinge.placement.LoadRequest;
import org.lentilhinge.routing.ClassifiedRequest;
import org.lentilhinge.routing.FleetView;
import org.lentilhinge.routing.RequestAttributes;
import org.lentilhinge.routing.RequestClassifier;
import org.lentilhinge.routing.RoutingDecision;
import org.lentilhinge.routing.RoutingStrategy;

/**
 * Simulates one entry host with the classification, admission and routing decisions of the core.
 */
final class ReplayGateway {

  private static final int MAXIMUM_QUEUED = 200;
  private static final long SUSPECT_MILLIS = 3_600_000;

  private record LoadKey(EndpointId endpoint, AdapterVersion version) {}

  private final HostId host;
  private final ZoneId zone;
  private final ReplayFleet fleet;
  private final VirtualClock clock;
  private final RequestClassifier classifier;
  private final FleetView view;
  private final AdmissionQueue admission;
  private final RoutingStrategy routing;
  private final long maximumQueueMillis;
  private final Map<RequestId, ReplayRequest> requests = new HashMap<>();
  private final Map<LoadKey, List<ReplayRequest>> waitingForLoad = new LinkedHashMap<>();
  private long sequence;
  private boolean failed;

  ReplayGateway(
      HostId host,
      ZoneId zone,
      ReplayFleet fleet,
      VirtualClock clock,
      Configuration configuration,
      RoutingStrategy routing) {
    this.host = host;
    this.zone = zone;
    this.fleet = fleet;
    this.clock = clock;
    this.classifier = new RequestClassifier(configuration);
    this.view = new FleetView(zone, configuration);
    this.maximumQueueMillis = configuration.policy().maximumQueueMillis();
    this.admission =
        new AdmissionQueue(
            new AdmissionSettings(MAXIMUM_QUEUED, maximumQueueMillis, configuration.callers()), 0);
    this.routing = routing;
  }

  HostId host() {
    return host;
  }

  ZoneId zone() {
    return zone;
  }

  boolean hasFailed() {
    return failed;
  }

  void fail() {
    failed = true;
    requests.values().forEach(fleet.statistics()::recordLost);
    requests.clear();
    waitingForLoad.clear();
  }

  void arrive(Arrival arrival) {
    RequestAttributes attributes =
        new RequestAttributes(Map.of("model", arrival.adapter().value()));
    ClassifiedRequest classified =
        classifier
            .classify(arrival.caller(), attributes)
            .getOrElseThrow(reason -> new IllegalStateException(reason + " for " + arrival));
    RequestId id = new RequestId(new HostIncarnation(host, 1), sequence++);
    long deadlineMillis = clock.nowMillis() + maximumQueueMillis;
    ReplayRequest request = new ReplayRequest(id, arrival, classified, deadlineMillis);
    requests.put(id, request);
    fleet.statistics().recordOffered(request);
    view.recordArrival(classified.version(), clock.nowMillis());
    AdmissionRequest offered =
        new AdmissionRequest(
            id, arrival.caller(), classified.urgency(), clock.nowMillis(), deadlineMillis);
    execute(admission.offer(offered, clock.nowMillis()));
    admitRequests();
  }

  void admitRequests() {
    execute(admission.advance(clock.nowMillis(), view.freeBatchSlots(clock.nowMillis())));
  }

  /** Refuses requests whose deadline has passed while they waited for a load. */
  void refuseExpired() {
    for (Map.Entry<LoadKey, List<ReplayRequest>> entry : List.copyOf(waitingForLoad.entrySet())) {
      List<ReplayRequest> expired =
          entry.getValue().stream()
              .filter(request -> request.deadlineMillis() <= clock.nowMillis())
              .toList();
      entry.getValue().removeAll(expired);
      expired.forEach(this::refuse);
      if (entry.getValue().isEmpty()) {
        waitingForLoad.remove(entry.getKey());
        fleet.withdrawRequest(this, entry.getKey().endpoint(), entry.getKey().version());
      }
    }
  }

  void onAnnouncement(EngineAnnouncement announcement) {
    view.applyAnnouncement(announcement, clock.nowMillis());
  }

  void onPermit(EndpointId endpoint, AdapterVersion version) {
    List<ReplayRequest> granted = waitingForLoad.remove(new LoadKey(endpoint, version));
    if (granted != null) {
      granted.forEach(request -> dispatch(request, endpoint));
    }
  }

  void onDecline(EndpointId endpoint, AdapterVersion version) {
    List<ReplayRequest> declined = waitingForLoad.remove(new LoadKey(endpoint, version));
    if (declined != null) {
      declined.forEach(request -> routeElsewhere(request, endpoint));
    }
  }

  void onCompleted(ReplayRequest request) {
    finish(request);
    fleet.statistics().recordCompleted(request);
    admitRequests();
  }

  /** Routes a request again that an engine has dropped. */
  void onDropped(ReplayRequest request, EndpointId endpoint) {
    if (requests.containsKey(request.id())) {
      view.recordCompletion(endpoint, clock.nowMillis());
      route(request);
    }
  }

  void markSuspect(EndpointId endpoint) {
    view.markSuspect(endpoint, clock.nowMillis() + SUSPECT_MILLIS);
    for (LoadKey key : List.copyOf(waitingForLoad.keySet())) {
      if (key.endpoint().equals(endpoint)) {
        onDecline(endpoint, key.version());
      }
    }
  }

  private void execute(List<AdmissionCommand> commands) {
    for (AdmissionCommand command : commands) {
      ReplayRequest request = requests.get(command.request());
      if (command instanceof AdmissionCommand.Refuse) {
        requests.remove(request.id());
        fleet.statistics().recordRefused(request, clock.nowMillis());
      } else {
        route(request);
      }
    }
  }

  private void routeElsewhere(ReplayRequest request, EndpointId declined) {
    request.endWait(fleet.roundTripMillis(this, declined), clock.nowMillis());
    request.exclude(declined);
    view.recordCompletion(declined, clock.nowMillis());
    route(request);
  }

  private void route(ReplayRequest request) {
    RoutingDecision decision = routing.route(request.toRoutingRequest(), view, clock.nowMillis());
    routing
        .replicaHint(request.toRoutingRequest(), decision, view, clock.nowMillis())
        .ifPresent(hint -> fleet.sendHint(this, hint));
    if (decision instanceof RoutingDecision.UseResident use) {
      assign(request, use.endpoint());
    } else if (decision instanceof RoutingDecision.RequestLoad load) {
      assign(request, load.endpoint());
    } else if (decision instanceof RoutingDecision.Wait) {
      admission.requeue(request.id());
    } else {
      finish(request, false);
      fleet.statistics().recordRefused(request, clock.nowMillis());
    }
  }

  private void assign(ReplayRequest request, EndpointId endpoint) {
    AdapterVersion version = request.classified().version();
    request.assign(endpoint, clock.nowMillis());
    view.recordDispatch(
        endpoint, OptionalLong.of(request.arrival().promptPrefix()), clock.nowMillis());
    if (fleet.holdsGrant(this, endpoint, version)) {
      fleet.recordUse(this, endpoint, version);
      dispatch(request, endpoint);
      return;
    }
    List<ReplayRequest> waitingRequests =
        waitingForLoad.computeIfAbsent(new LoadKey(endpoint, version), absent -> new ArrayList<>());
    waitingRequests.add(request);
    Urgency urgency =
        waitingRequests.stream()
            .map(waiter -> waiter.classified().urgency())
            .sorted()
            .findFirst()
            .get();
    fleet.requestGrant(
        this, endpoint, new LoadRequest(host, version, urgency, waitingRequests.size()));
  }

  private void dispatch(ReplayRequest request, EndpointId endpoint) {
    request.endWait(fleet.roundTripMillis(this, endpoint), clock.nowMillis());
    fleet.dispatch(this, request, endpoint);
  }

  private void refuse(ReplayRequest request) {
    request.endWait(0, clock.nowMillis());
    finish(request);
    fleet.statistics().recordRefused(request, clock.nowMillis());
  }

  private void finish(ReplayRequest request) {
    finish(request, true);
  }

  private void finish(ReplayRequest request, boolean assigned) {
    requests.remove(request.id());
    admission.onFinished(request.id());
    if (assigned) {
      request.endpoint().ifPresent(endpoint -> view.recordCompletion(endpoint, clock.nowMillis()));
    }
  }
}
