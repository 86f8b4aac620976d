package org.lentilhinge.host;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.lentilhinge.admission.AdmissionCommand;
import org.lentilhinge.admission.AdmissionQueue;
import org.lentilhinge.admission.AdmissionRequest;
import org.lentilhinge.grant.GrantCache;
import org.lentilhinge.grant.GrantCommand;
import org.lentilhinge.grant.GrantOutcome;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.routing.FleetView;
import org.lentilhinge.routing.RoutingDecision;
import org.lentilhinge.routing.RoutingReason;
import org.lentilhinge.routing.RoutingRequest;
import org.lentilhinge.routing.RoutingStrategy;

/**
 * Selects an endpoint, and obtains a grant to use it, for each request that this host has accepted.
 */
final class GatewayRole {

  private static final long REROUTE_DELAY_MILLIS = 100;
  private static final long MINIMUM_REROUTE_DELAY_MILLIS = 20;
  private static final long SUSPECT_MILLIS = 3_000;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final GrantCache grants;
  private final FleetView fleet;
  private final AdmissionQueue admission;
  private RoutingStrategy routing;
  private final Function<EndpointId, Optional<HostId>> likelyOwner;
  private final RunningRequests running;
  private final GrantDeclines declines = new GrantDeclines();
  private final Map<RequestId, GatewayProgress> requests = new LinkedHashMap<>();

  GatewayRole(
      GrantCache grants,
      FleetView fleet,
      AdmissionQueue admission,
      RoutingStrategy routing,
      Function<EndpointId, Optional<HostId>> likelyOwner,
      RunningRequests running) {
    this.grants = grants;
    this.fleet = fleet;
    this.admission = admission;
    this.routing = routing;
    this.likelyOwner = likelyOwner;
    this.running = running;
  }

  /** Returns the number of requests that have been neither dispatched nor refused. */
  int waitingCount() {
    return (int)
        requests.values().stream()
            .filter(progress -> progress.stage() != GatewayProgress.Stage.DISPATCHED)
            .count();
  }

  void setRouting(RoutingStrategy changed) {
    routing = changed;
  }

  List<HostCommand> onAttemptRequested(GatewayRequest request, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    GatewayProgress existing = requests.get(request.id());
    if (existing != null) {
      existing.startNextAttempt(request);
      route(existing, nowMillis, commands);
      return commands;
    }
    GatewayProgress progress = new GatewayProgress(request, nowMillis);
    requests.put(request.id(), progress);
    if (request.attempt() > 1) {
      route(progress, nowMillis, commands);
      return commands;
    }
    fleet.recordArrival(request.classified().version(), nowMillis);
    applyAdmission(
        admission.offer(toAdmissionRequest(request, nowMillis), nowMillis), nowMillis, commands);
    startQueued(nowMillis, commands);
    return commands;
  }

  List<HostCommand> onRequestFinished(RequestId request, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    removeRequest(request);
    startQueued(nowMillis, commands);
    return commands;
  }

  List<HostCommand> onAttemptEnded(RequestId request, AttemptResult result, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    Optional<EndpointId> endpoint = running.onAttemptEnded(request, result, nowMillis);
    if (result == AttemptResult.LOST) {
      endpoint.ifPresent(lost -> fleet.markSuspect(lost, nowMillis + SUSPECT_MILLIS));
    }
    startQueued(nowMillis, commands);
    return commands;
  }

  List<HostCommand> onMessage(PeerMessage message, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    applyGrants(grants.onMessage(message, nowMillis), nowMillis, commands);
    return commands;
  }

  List<HostCommand> onFleetViewChanged(long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    startQueued(nowMillis, commands);
    return commands;
  }

  List<HostCommand> onClockJump(long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    applyGrants(grants.onClockJump(nowMillis), nowMillis, commands);
    return commands;
  }

  /** Releases each grant as soon as no request uses it. */
  List<HostCommand> releaseGrants(long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    applyGrants(grants.leave(nowMillis), nowMillis, commands);
    return commands;
  }

  List<HostCommand> onTick(long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    running.expire(nowMillis);
    declines.expire(nowMillis);
    applyGrants(grants.onTick(nowMillis), nowMillis, commands);
    for (GatewayProgress progress : List.copyOf(requests.values())) {
      if (progress.isOverdue(nowMillis)) {
        refuse(progress, RefusalReason.DEADLINE, RETRY_AFTER_MILLIS, commands);
      } else if (progress.isRouteDue(nowMillis)) {
        route(progress, nowMillis, commands);
      }
    }
    startQueued(nowMillis, commands);
    return commands;
  }

  private void startQueued(long nowMillis, List<HostCommand> commands) {
    int reserved = (int) requests.values().stream().filter(GatewayRole::reservesCapacity).count();
    int capacity = Math.max(0, fleet.freeBatchSlots(nowMillis) - reserved);
    applyAdmission(admission.advance(nowMillis, capacity), nowMillis, commands);
  }

  private static boolean reservesCapacity(GatewayProgress progress) {
    return progress.stage() == GatewayProgress.Stage.ASKING
        || progress.stage() == GatewayProgress.Stage.POSTPONED;
  }

  private void applyAdmission(
      List<AdmissionCommand> decisions, long nowMillis, List<HostCommand> commands) {
    for (AdmissionCommand command : decisions) {
      GatewayProgress progress = requests.get(command.request());
      if (progress != null && command instanceof AdmissionCommand.Start) {
        route(progress, nowMillis, commands);
      } else if (progress != null && command instanceof AdmissionCommand.Refuse refusal) {
        refuse(progress, reasonOf(refusal), refusal.retryAfterMillis(), commands);
      }
    }
  }

  private void route(GatewayProgress progress, long nowMillis, List<HostCommand> commands) {
    GatewayRequest request = progress.request();
    Set<EndpointId> excluded = progress.excluded();
    Set<EndpointId> declined =
        declines.decliningEndpoints(request.classified().version(), nowMillis);
    excluded.addAll(declined);
    RoutingRequest routingRequest =
        new RoutingRequest(
            request.classified(), excluded, request.promptPrefix(), request.deadlineAtMillis());
    RoutingDecision decision = routing.route(routingRequest, fleet, nowMillis);
    routing
        .replicaHint(routingRequest, decision, fleet, nowMillis)
        .ifPresent(
            hint ->
                likelyOwner
                    .apply(hint.endpoint())
                    .ifPresent(owner -> commands.add(new HostCommand.Send(owner, hint))));
    if (decision instanceof RoutingDecision.UseResident use) {
      requestGrant(progress, use.endpoint(), use.reason(), nowMillis, commands);
    } else if (decision instanceof RoutingDecision.RequestLoad load) {
      requestGrant(progress, load.endpoint(), load.reason(), nowMillis, commands);
    } else if (decision instanceof RoutingDecision.Wait wait) {
      postpone(progress, wait.retryAfterMillis(), nowMillis);
    } else if (decision instanceof RoutingDecision.Refuse refusal) {
      onNoRoute(progress, refusal, !declined.isEmpty(), nowMillis, commands);
    }
  }

  /**
   * Postpones the request if an endpoint has declined it for a temporary reason, so that the same
   * endpoints are tried again; refuses it otherwise.
   */
  private void onNoRoute(
      GatewayProgress progress,
      RoutingDecision.Refuse refusal,
      boolean declined,
      long nowMillis,
      List<HostCommand> commands) {
    boolean permanent = progress.lastDecline() == RefusalReason.LOAD_FAILED;
    if ((declined || progress.wasDeclined()) && !permanent) {
      postpone(progress, REROUTE_DELAY_MILLIS, nowMillis);
      return;
    }
    RefusalReason reason =
        refusal.reason() == RoutingReason.NO_CAPACITY
            ? RefusalReason.OVERLOAD
            : progress.lastDecline();
    refuse(progress, reason, refusal.retryAfterMillis(), commands);
  }

  /**
   * Schedules another routing of a started request, which keeps its reserved capacity until then.
   */
  private static void postpone(GatewayProgress progress, long delayMillis, long nowMillis) {
    progress.postpone(nowMillis + Math.max(MINIMUM_REROUTE_DELAY_MILLIS, delayMillis));
  }

  private void requestGrant(
      GatewayProgress progress,
      EndpointId endpoint,
      RoutingReason reason,
      long nowMillis,
      List<HostCommand> commands) {
    Optional<HostId> owner = likelyOwner.apply(endpoint);
    progress.recordGrantRequest(endpoint, reason, nowMillis);
    if (owner.isEmpty()) {
      progress.recordDecline(endpoint, RefusalReason.NO_ENDPOINT, nowMillis);
      route(progress, nowMillis, commands);
      return;
    }
    AdapterVersion version = progress.request().classified().version();
    RequestId request = progress.request().id();
    applyGrants(
        grants.acquire(request, endpoint, version, owner.get(), nowMillis), nowMillis, commands);
  }

  private void applyGrants(
      List<GrantCommand> decisions, long nowMillis, List<HostCommand> commands) {
    for (GrantCommand command : decisions) {
      if (command instanceof GrantCommand.Send send) {
        commands.add(new HostCommand.Send(send.to(), send.message()));
      } else if (command instanceof GrantCommand.Ready ready) {
        onGrantReady(ready, nowMillis, commands);
      } else if (command instanceof GrantCommand.Refused refused) {
        onGrantRefused(refused, nowMillis, commands);
      }
    }
  }

  private void onGrantReady(GrantCommand.Ready ready, long nowMillis, List<HostCommand> commands) {
    GatewayProgress progress = requests.get(ready.request());
    boolean expected =
        progress != null
            && progress.stage() == GatewayProgress.Stage.ASKING
            && progress.endpoint().filter(ready.endpoint()::equals).isPresent();
    if (!expected) {
      grants.finish(ready.endpoint(), ready.version(), nowMillis);
      return;
    }
    progress.recordDispatch(nowMillis);
    running.onDispatched(progress.request(), ready.endpoint(), nowMillis);
    commands.add(
        new HostCommand.Dispatch(
            ready.request(),
            ready.endpoint(),
            ready.version(),
            progress.routingReason(),
            progress.waitedMillis(nowMillis),
            progress.grantWaitMillis()));
  }

  private void onGrantRefused(
      GrantCommand.Refused refused, long nowMillis, List<HostCommand> commands) {
    GatewayProgress progress = requests.get(refused.request());
    if (progress == null || progress.stage() != GatewayProgress.Stage.ASKING) {
      return;
    }
    if (refused.reason() == GrantOutcome.LEAVING) {
      fleet.markLeaving(refused.endpoint(), true);
    }
    progress.recordDecline(refused.endpoint(), reasonOf(refused.reason()), nowMillis);
    declines.add(refused.version(), refused.endpoint(), refused.retryAfterMillis(), nowMillis);
    route(progress, nowMillis, commands);
  }

  private void refuse(
      GatewayProgress progress,
      RefusalReason reason,
      long retryAfterMillis,
      List<HostCommand> commands) {
    RequestId request = progress.request().id();
    removeRequest(request);
    commands.add(new HostCommand.Refuse(request, reason, retryAfterMillis));
  }

  private void removeRequest(RequestId request) {
    GatewayProgress progress = requests.remove(request);
    admission.onFinished(request);
    if (progress != null && progress.stage() == GatewayProgress.Stage.ASKING) {
      AdapterVersion version = progress.request().classified().version();
      progress.endpoint().ifPresent(endpoint -> grants.abandon(request, endpoint, version));
    }
  }

  private static AdmissionRequest toAdmissionRequest(GatewayRequest request, long nowMillis) {
    return new AdmissionRequest(
        request.id(),
        request.classified().caller(),
        request.classified().urgency(),
        nowMillis,
        request.deadlineAtMillis());
  }

  private static RefusalReason reasonOf(AdmissionCommand.Refuse refusal) {
    return switch (refusal.reason()) {
      case CALLER_LIMIT -> RefusalReason.CALLER_LIMIT;
      case DEADLINE -> RefusalReason.DEADLINE;
      case QUEUE_FULL, WAIT_TOO_LONG -> RefusalReason.OVERLOAD;
    };
  }

  private static RefusalReason reasonOf(GrantOutcome outcome) {
    return switch (outcome) {
      case LOAD_FAILED -> RefusalReason.LOAD_FAILED;
      case NO_SLOT, STORE_BUSY, LOADING, GRANTED -> RefusalReason.OVERLOAD;
      case NOT_OWNER, LEAVING, UNREACHABLE -> RefusalReason.NO_ENDPOINT;
    };
  }
}
