package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.fleet.EndpointRegistry;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ZoneCosts;
import org.lentilhinge.forward.ZoneDistances;
import org.lentilhinge.overlay.HostOverlay;
import org.lentilhinge.permit.EngineSelector;
import org.lentilhinge.zone.EngineRoom;
import org.lentilhinge.zone.RegionTrafficBudget;
import org.lentilhinge.zone.RequestZones;
import org.lentilhinge.zone.ShareReports;
import org.lentilhinge.zone.ZonePrices;
import org.lentilhinge.zone.ZoneRoundTrips;
import org.lentilhinge.zone.ZoneTrafficPlan;
import org.lentilhinge.zone.ZoneTrafficPlanner;
import org.lentilhinge.zone.ZoneTrafficSettings;

/** Keeps the plans of the traffic between zones, if the settings enable them, and applies them. */
final class ZoneTraffic {

  /** The request and response heads, which are a few hundred bytes each, and the framing. */
  private static final long BASE_BYTES = 2_000;

  /** The bytes of a token in the text of a prompt: tokens of common models have about four. */
  private static final long BYTES_PER_PROMPT_TOKEN = 4;

  /** The bytes of a token in a response: each is an event of its own, with the event's framing. */
  private static final long BYTES_PER_OUTPUT_TOKEN = 80;

  private final HostContext context;
  private final EndpointRegistry endpoints;
  private final EngineSelector engines;
  private final HostOverlay hosts;
  private final ZoneDistances distances;
  private final Optional<ZoneTrafficSettings> settings;
  private final RegionTrafficBudget budget;
  private final ZoneRoundTrips roundTrips = new ZoneRoundTrips();
  private final Map<String, ServicePlan> plans = new HashMap<>();
  private long requestsWithoutId;

  ZoneTraffic(
      HostContext context,
      EndpointRegistry endpoints,
      EngineSelector engines,
      HostOverlay hosts,
      ZoneDistances distances) {
    this.context = context;
    this.endpoints = endpoints;
    this.engines = engines;
    this.hosts = hosts;
    this.distances = distances;
    settings = context.settings().zoneTraffic();
    budget =
        new RegionTrafficBudget(settings.orElse(ZoneTrafficSettings.FREE_UNBOUNDED), context.now());
  }

  /** The plan of one service. */
  private static final class ServicePlan {
    private final ZoneTrafficPlanner planner;
    private final ShareReports reports = new ShareReports();
    private ZoneTrafficPlan plan;

    private ServicePlan(ZoneTrafficPlanner planner, ZoneTrafficPlan plan) {
      this.planner = planner;
      this.plan = plan;
    }
  }

  /** The choice of one request, which also records the zone that is chosen. */
  static final class Choice {
    private final ZoneTraffic traffic;
    private final Optional<RequestZones> planned;

    private Choice(ZoneTraffic traffic, Optional<RequestZones> planned) {
      this.traffic = traffic;
      this.planned = planned;
    }

    ZoneCosts zones() {
      return planned.isPresent() ? planned.get() : traffic.distances;
    }

    /** Records the endpoint that was chosen last. */
    void record(FleetEndpoint endpoint) {
      planned.ifPresent(zones -> traffic.recordChoice(endpoint, zones));
    }
  }

  /**
   * Begins the choice of an endpoint.
   *
   * @param service the service
   * @param engineService whether its endpoints are engines, whose capacity statuses state
   * @param request the request
   * @param choiceHash the hash of the request's id
   */
  Choice choice(String service, boolean engineService, RequestMetadata request, long choiceHash) {
    if (settings.isEmpty()) {
      return new Choice(this, Optional.empty());
    }
    long hash = request.requestId().isPresent() ? choiceHash : ++requestsWithoutId;
    long bytes = expectedBytes(request);
    RequestZones zones = new RequestZones(plan(service, engineService), bytes, hash, this::isOpen);
    return new Choice(this, Optional.of(zones));
  }

  private static long expectedBytes(RequestMetadata request) {
    return BASE_BYTES
        + request
            .generation()
            .map(
                generation ->
                    generation.promptTokens() * BYTES_PER_PROMPT_TOKEN
                        + generation.outputTokens() * BYTES_PER_OUTPUT_TOKEN)
            .orElse(0L);
  }

  private boolean isOpen(String zone) {
    long now = context.now();
    return !roundTrips.isUnreachable(zone, now)
        && (isOwnRegion(zone) || budget.hasRoom(hosts.sharingHostCount(), now));
  }

  private boolean isOwnRegion(String zone) {
    return distances.regionOf(zone).equals(context.settings().region());
  }

  private ZoneTrafficPlan plan(String service, boolean engineService) {
    long now = context.now();
    String zone = context.settings().zone();
    Map<String, String> regions = context.settings().zoneRegions();
    ServicePlan current =
        plans.computeIfAbsent(
            service,
            unused ->
                new ServicePlan(
                    new ZoneTrafficPlanner(zone, regions),
                    ZoneTrafficPlan.unrestricted(zone, prices())));
    if (current.planner.isDue(now)) {
      // Statuses describe engines only. Plain services keep the choice by costs.
      Collection<FleetEndpoint> known =
          engineService ? endpoints.usableEndpoints(service) : List.of();
      current.plan =
          current.planner.update(
              known.stream().map(engine -> room(engine, now)).toList(), prices(), now);
      current.reports.changes(current.plan, now).forEach(share -> log(service, share));
    }
    return current.plan;
  }

  private ZonePrices prices() {
    return ZonePrices.of(
        context.settings().zone(),
        context.settings().zoneRegions(),
        settings.orElse(ZoneTrafficSettings.FREE_UNBOUNDED),
        distances,
        roundTrips);
  }

  private EngineRoom room(FleetEndpoint engine, long now) {
    return EngineRoom.of(
        engine.zone(),
        engines.status(engine.incarnation(), EngineRoom.MAXIMUM_STATUS_AGE_MILLIS, now));
  }

  private void log(String service, ZoneTrafficPlan.Share share) {
    context
        .log()
        .line(
            "zone-traffic",
            "service",
            service,
            "from",
            context.settings().zone(),
            "to",
            share.zone(),
            "share",
            decimal(share.share()),
            "roomHere",
            decimal(share.roomHere()),
            "roomThere",
            decimal(share.roomThere()),
            "roundTripMs",
            roundTrips.millis(share.zone()).isPresent()
                ? decimal(roundTrips.millis(share.zone()).getAsDouble())
                : "-");
  }

  private static String decimal(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }

  /** Records that a request is sent to an endpoint. */
  void recordSent(FleetEndpoint endpoint, RequestMetadata request) {
    if (!isOwnRegion(endpoint.zone())) {
      budget.use(expectedBytes(request));
    }
  }

  private void recordChoice(FleetEndpoint endpoint, RequestZones zones) {
    String reason = zones.reason(endpoint.zone()).name().toLowerCase(Locale.ROOT);
    context
        .metrics()
        .counter(
            MetricRegistry.name(
                "forward",
                "zone",
                context.settings().zone(),
                endpoint.zone(),
                reason.replace('_', '-')))
        .inc();
  }

  /** Records that a connection was opened, or could not be. */
  void recordConnect(FleetEndpoint endpoint, long startedAtMillis, boolean succeeded) {
    long now = context.now();
    if (settings.isEmpty()) {
      return;
    }
    if (succeeded) {
      roundTrips.recordConnect(endpoint.zone(), now - startedAtMillis, now);
    } else {
      roundTrips.recordFailure(endpoint.zone(), endpoint.incarnation(), now);
    }
  }

  /** Records that an endpoint has responded. */
  void recordResponse(FleetEndpoint endpoint) {
    roundTrips.recordResponse(endpoint.zone());
  }
}
