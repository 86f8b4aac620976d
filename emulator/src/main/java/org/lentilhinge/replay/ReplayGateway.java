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

  private record Wanted(EndpointId endpoint, AdapterVersion version) {}

  private final HostId host;
  private final ZoneId zone;
  private final ReplayFleet fleet;
  private final VirtualTime time;
  private final RequestClassifier classifier;
  private final FleetView view;
  private final AdmissionQueue admission;
  private final RoutingStrategy routing;
  private final long maximumQueueMillis;
  private final Map<RequestId, ReplayRequest> requests = new HashMap<>();
  private final Map<Wanted, List<ReplayRequest>> waiting = new LinkedHashMap<>();
  private long sequence;
  private boolean lost;

  ReplayGateway(
      HostId host,
      ZoneId zone,
      ReplayFleet fleet,
      VirtualTime time,
      Configuration configuration,
      RoutingStrategy routing) {
    this.host = host;
    this.zone = zone;
    this.fleet = fleet;
    this.time = time;
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

  boolean isLost() {
    return lost;
  }

  void lose() {
    lost = true;
    requests.values().forEach(fleet.measures()::lost);
    requests.clear();
    waiting.clear();
  }

  void arrive(Arrival arrival) {
    RequestAttributes attributes =
        new RequestAttributes(Map.of("model", arrival.adapter().value()));
    ClassifiedRequest classified =
        classifier
            .classify(arrival.caller(), attributes)
            .getOrElseThrow(reason -> new IllegalStateException(reason + " for " + arrival));
    RequestId id = new RequestId(new HostIncarnation(host, 1), sequence++);
    long deadlineMillis = time.nowMillis() + maximumQueueMillis;
    ReplayRequest request = new ReplayRequest(id, arrival, classified, deadlineMillis);
    requests.put(id, request);
    fleet.measures().offered(request);
    view.arrived(classified.version(), time.nowMillis());
    AdmissionRequest offered =
        new AdmissionRequest(
            id, arrival.caller(), classified.urgency(), time.nowMillis(), deadlineMillis);
    carryOut(admission.offer(offered, time.nowMillis()));
    pump();
  }

  void pump() {
    carryOut(admission.advance(time.nowMillis(), view.freeBatchSlots(time.nowMillis())));
  }

  /** Refuses requests whose deadline has passed while they waited for a load. */
  void expire() {
    for (Map.Entry<Wanted, List<ReplayRequest>> entry : List.copyOf(waiting.entrySet())) {
      List<ReplayRequest> expired =
          entry.getValue().stream()
              .filter(request -> request.deadlineMillis() <= time.nowMillis())
              .toList();
      entry.getValue().removeAll(expired);
      expired.forEach(this::refuse);
      if (entry.getValue().isEmpty()) {
        waiting.remove(entry.getKey());
        fleet.withdraw(this, entry.getKey().endpoint(), entry.getKey().version());
      }
    }
  }

  void announced(EngineAnnouncement announcement) {
    view.announce(announcement, time.nowMillis());
  }

  void permit(EndpointId endpoint, AdapterVersion version) {
    List<ReplayRequest> granted = waiting.remove(new Wanted(endpoint, version));
    if (granted != null) {
      granted.forEach(request -> dispatch(request, endpoint));
    }
  }

  void decline(EndpointId endpoint, AdapterVersion version) {
    List<ReplayRequest> declined = waiting.remove(new Wanted(endpoint, version));
    if (declined != null) {
      declined.forEach(request -> routeElsewhere(request, endpoint));
    }
  }

  void completed(ReplayRequest request) {
    end(request);
    fleet.measures().completed(request);
    pump();
  }

  /** Routes a request again that an engine has dropped. */
  void dropped(ReplayRequest request, EndpointId endpoint) {
    if (requests.containsKey(request.id())) {
      view.finished(endpoint, time.nowMillis());
      route(request);
    }
  }

  void suspect(EndpointId endpoint) {
    view.markSuspect(endpoint, time.nowMillis() + SUSPECT_MILLIS);
    for (Wanted key : List.copyOf(waiting.keySet())) {
      if (key.endpoint().equals(endpoint)) {
        decline(endpoint, key.version());
      }
    }
  }

  private void carryOut(List<AdmissionCommand> commands) {
    for (AdmissionCommand command : commands) {
      ReplayRequest request = requests.get(command.request());
      if (command instanceof AdmissionCommand.Refuse) {
        requests.remove(request.id());
        fleet.measures().refused(request, time.nowMillis());
      } else {
        route(request);
      }
    }
  }

  private void routeElsewhere(ReplayRequest request, EndpointId declined) {
    request.granted(fleet.roundTripMillis(this, declined), time.nowMillis());
    request.exclude(declined);
    view.finished(declined, time.nowMillis());
    route(request);
  }

  private void route(ReplayRequest request) {
    RoutingDecision decision = routing.route(request.routing(), view, time.nowMillis());
    routing
        .replicaHint(request.routing(), decision, view, time.nowMillis())
        .ifPresent(hint -> fleet.hint(this, hint));
    if (decision instanceof RoutingDecision.UseResident use) {
      assign(request, use.endpoint());
    } else if (decision instanceof RoutingDecision.RequestLoad load) {
      assign(request, load.endpoint());
    } else if (decision instanceof RoutingDecision.Wait) {
      admission.putBack(request.id());
    } else {
      end(request, false);
      fleet.measures().refused(request, time.nowMillis());
    }
  }

  private void assign(ReplayRequest request, EndpointId endpoint) {
    AdapterVersion version = request.classified().version();
    request.assign(endpoint, time.nowMillis());
    view.dispatched(endpoint, OptionalLong.of(request.arrival().promptPrefix()), time.nowMillis());
    if (fleet.holdsGrant(this, endpoint, version)) {
      fleet.used(this, endpoint, version);
      dispatch(request, endpoint);
      return;
    }
    List<ReplayRequest> waitingRequests =
        waiting.computeIfAbsent(new Wanted(endpoint, version), absent -> new ArrayList<>());
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
    request.granted(fleet.roundTripMillis(this, endpoint), time.nowMillis());
    fleet.dispatch(this, request, endpoint);
  }

  private void refuse(ReplayRequest request) {
    request.granted(0, time.nowMillis());
    end(request);
    fleet.measures().refused(request, time.nowMillis());
  }

  private void end(ReplayRequest request) {
    end(request, true);
  }

  private void end(ReplayRequest request, boolean assigned) {
    requests.remove(request.id());
    admission.finished(request.id());
    if (assigned) {
      request.endpoint().ifPresent(endpoint -> view.finished(endpoint, time.nowMillis()));
    }
  }
}
