package org.lentilhinge.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.grant.EndpointDemand;
import org.lentilhinge.grant.EndpointVersions;
import org.lentilhinge.grant.GrantAnswer;
import org.lentilhinge.grant.GrantDemand;
import org.lentilhinge.grant.GrantOutcome;
import org.lentilhinge.grant.GrantRegistration;
import org.lentilhinge.grant.GrantRelease;
import org.lentilhinge.grant.GrantReply;
import org.lentilhinge.grant.GrantRequest;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.lease.ZoneOwnership;
import org.lentilhinge.placement.EndpointCommand;
import org.lentilhinge.placement.LoadRequest;
import org.lentilhinge.placement.PlacementCommand;
import org.lentilhinge.placement.PlacementScheduler;

/** Handles the grant requests of gateways for the engines that this host owns. */
final class GrantRequestHandler {

  private static final long NOT_PLACED_RETRY_MILLIS = 250;

  private final HostIncarnation self;
  private final ZoneOwnership ownership;
  private final PlacementScheduler scheduler;
  private final OwnedEngines owned;
  private final EngineOrders orders;
  private final GrantReplies replies;
  private final GrantRecaller recaller;

  GrantRequestHandler(
      HostIncarnation self,
      ZoneOwnership ownership,
      PlacementScheduler scheduler,
      OwnedEngines owned,
      EngineOrders orders,
      GrantReplies replies,
      GrantRecaller recaller) {
    this.self = self;
    this.ownership = ownership;
    this.scheduler = scheduler;
    this.owned = owned;
    this.orders = orders;
    this.replies = replies;
    this.recaller = recaller;
  }

  List<HostCommand> onRequest(GrantRequest request, long nowMillis) {
    List<HostCommand> followUps = new ArrayList<>();
    List<GrantAnswer> answers = new ArrayList<>();
    for (EndpointDemand endpointDemand : request.endpointDemands()) {
      for (GrantDemand demand : endpointDemand.demands()) {
        answers.add(answer(request, endpointDemand.endpoint(), demand, nowMillis, followUps));
      }
    }
    GrantReply reply = new GrantReply(self, request.sequence(), answers);
    List<HostCommand> commands = new ArrayList<>();
    commands.add(new HostCommand.Send(request.gateway().host(), reply));
    commands.addAll(followUps);
    return commands;
  }

  void onRelease(GrantRelease release) {
    for (EndpointVersions released : release.released()) {
      owned
          .find(released.endpoint())
          .ifPresent(
              engine ->
                  engine
                      .ledger()
                      .onRelease(release.gateway(), release.sequence(), released.versions()));
    }
  }

  void onRegistration(GrantRegistration registration, long nowMillis) {
    owned.all().forEach(engine -> engine.ledger().onRegistration(registration, nowMillis));
  }

  void onRestart(HostIncarnation current, long nowMillis) {
    owned.all().forEach(engine -> engine.ledger().onRestart(current, nowMillis));
  }

  private GrantAnswer answer(
      GrantRequest request,
      EndpointId endpoint,
      GrantDemand demand,
      long nowMillis,
      List<HostCommand> followUps) {
    AdapterVersion version = demand.version();
    Optional<OwnedEngine> engine = owned.find(endpoint);
    if (engine.isEmpty() || !ownership.mayServe(endpoint, nowMillis)) {
      Optional<HostId> candidate =
          ownership.candidate(endpoint).filter(host -> !host.equals(self.host()));
      return GrantAnswer.notOwner(endpoint, version, candidate);
    }
    if (engine.get().placement().isPresent()) {
      return requestPlacement(engine.get(), request, demand, nowMillis, followUps);
    }
    if (engine.get().isResident(version)) {
      return replies.grant(engine.get(), request.gateway(), request.sequence(), version, nowMillis);
    }
    return GrantAnswer.refused(endpoint, version, GrantOutcome.NO_SLOT, NOT_PLACED_RETRY_MILLIS);
  }

  /**
   * Submits a demand to placement, which permits or declines it at once or replies when a load has
   * ended.
   */
  private GrantAnswer requestPlacement(
      OwnedEngine engine,
      GrantRequest request,
      GrantDemand demand,
      long nowMillis,
      List<HostCommand> followUps) {
    AdapterVersion version = demand.version();
    HostId gateway = request.gateway().host();
    LoadRequest loadRequest =
        new LoadRequest(gateway, version, Urgency.NORMAL, Math.max(1, demand.requests()));
    Optional<GrantAnswer> answer = Optional.empty();
    List<EndpointCommand> otherCommands = new ArrayList<>();
    for (EndpointCommand command : scheduler.request(engine.endpoint(), loadRequest, nowMillis)) {
      if (isAnswer(command, engine, version, gateway)) {
        answer = Optional.of(toAnswer(engine, command.command(), request, nowMillis));
      } else {
        otherCommands.add(command);
      }
    }
    if (answer.isEmpty()) {
      engine.addWaitingGateway(version, request.gateway(), request.sequence());
    }
    orders.execute(otherCommands, nowMillis, followUps);
    recaller.recall(engine, nowMillis, followUps);
    return answer.orElse(GrantAnswer.refused(engine.endpoint(), version, GrantOutcome.LOADING, 0));
  }

  private static boolean isAnswer(
      EndpointCommand command, OwnedEngine engine, AdapterVersion version, HostId gateway) {
    if (!command.endpoint().equals(engine.endpoint())
        || !command.command().version().equals(version)) {
      return false;
    }
    if (command.command() instanceof PlacementCommand.Permit permit) {
      return permit.gateway().equals(gateway);
    }
    return command.command() instanceof PlacementCommand.Decline decline
        && decline.gateway().equals(gateway);
  }

  private GrantAnswer toAnswer(
      OwnedEngine engine, PlacementCommand command, GrantRequest request, long nowMillis) {
    if (command instanceof PlacementCommand.Decline decline) {
      return GrantReplies.toAnswer(engine, decline);
    }
    return replies.grant(
        engine, request.gateway(), request.sequence(), command.version(), nowMillis);
  }
}
