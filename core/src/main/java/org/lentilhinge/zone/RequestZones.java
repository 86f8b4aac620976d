package org.lentilhinge.zone;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ZoneCosts;

/** The costs of the zones for one request, and the zones that the request may be sent to. */
public final class RequestZones implements ZoneCosts {

  private final ZoneTrafficPlan plan;
  private final long bytes;
  private final long requestHash;
  private final Predicate<String> open;
  private boolean readyHere;
  private boolean refusedHere;

  /** Why a request is sent to a zone. */
  public enum Reason {

    /** It is the host's own zone. */
    NEAR,

    /** The own zone could serve the request, but another one does it sooner. */
    OVERFLOW,

    /** No endpoint of the own zone was ready for the request. */
    ONLY_THERE
  }

  /**
   * Creates the costs for a request.
   *
   * @param plan the plan of the request's service
   * @param bytes the bytes that the request is expected to transfer
   * @param requestHash a number that differs from request to request
   * @param open whether requests can be sent to a zone, which is reachable and within the bandwidth
   */
  public RequestZones(ZoneTrafficPlan plan, long bytes, long requestHash, Predicate<String> open) {
    this.plan = plan;
    this.bytes = bytes;
    this.requestHash = requestHash;
    this.open = open;
  }

  @Override
  public double costMillis(String targetZone) {
    return plan.costMillis(targetZone, bytes);
  }

  @Override
  public Collection<FleetEndpoint> permitted(
      Collection<FleetEndpoint> endpoints, Set<String> excluded, Predicate<FleetEndpoint> ready) {
    readyHere = false;
    refusedHere = false;
    for (FleetEndpoint endpoint : endpoints) {
      if (endpoint.zone().equals(plan.zone()) && ready.test(endpoint)) {
        boolean isExcluded = excluded.contains(endpoint.incarnation());
        readyHere |= !isExcluded;
        refusedHere |= isExcluded;
      }
    }
    // There are many endpoints in few zones.
    Map<String, Boolean> permittedZones = new HashMap<>();
    List<FleetEndpoint> permitted =
        endpoints.stream()
            .filter(endpoint -> permittedZones.computeIfAbsent(endpoint.zone(), this::isPermitted))
            .toList();
    boolean left =
        permitted.stream().anyMatch(endpoint -> !excluded.contains(endpoint.incarnation()));
    return left ? permitted : endpoints;
  }

  private boolean isPermitted(String zone) {
    if (zone.equals(plan.zone())) {
      return true;
    }
    boolean leaves =
        !readyHere
            || plan.mayLeave(zone, requestHash)
            || (refusedHere && plan.mayLeaveRefused(zone, requestHash));
    return leaves && open.test(zone);
  }

  /**
   * Returns why the request is sent to a zone, according to the last selection.
   *
   * @param zone the zone
   * @return the reason
   */
  public Reason reason(String zone) {
    if (zone.equals(plan.zone())) {
      return Reason.NEAR;
    }
    return readyHere ? Reason.OVERFLOW : Reason.ONLY_THERE;
  }
}
