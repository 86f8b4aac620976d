package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.permit.OwnershipAnswer;
import org.lentilhinge.permit.OwnershipClaims;
import org.lentilhinge.permit.OwnershipObjection;
import org.lentilhinge.permit.OwnershipQuery;
import org.lentilhinge.permit.OwnershipRound;

/** Asks all other live hosts whether they object to this host's ownership of an engine. */
final class OwnershipConsent {

  /** The wait after an objection for a reason that ends soon, in milliseconds. */
  private static final long RETRY_MILLIS = 300;

  private final HostContext context;
  private final HostState state;
  private final PeerSender peers;
  private final FleetEndpoint engine;
  private final OwnedEngineLog log;
  private final OwnershipRound round;

  OwnershipConsent(
      HostContext context,
      HostState state,
      PeerSender peers,
      FleetEndpoint engine,
      OwnedEngineLog log) {
    this.context = context;
    this.state = state;
    this.peers = peers;
    this.engine = engine;
    this.log = log;
    round = new OwnershipRound(state.hosts().self().life());
  }

  /**
   * Sends the queries that are due.
   *
   * @param fencingToken the token of this host if it owns the engine, or 0
   */
  void request(long fencingToken) {
    long now = context.now();
    Optional<OwnershipObjection> ownObjection =
        state.ownershipObjection(engine.incarnation(), context.host(), fencingToken);
    if (ownObjection.isPresent()) {
      round.cancel(ownObjection.get().waitMillis(), now);
      return;
    }
    List<String> due = round.selectHosts(state.ownershipHosts(), now);
    if (!due.isEmpty()) {
      long digest = state.candidatesDigest();
      due.forEach(host -> ask(host, fencingToken, digest));
    }
  }

  private void ask(String host, long fencingToken, long hostsDigest) {
    OwnershipQuery query =
        new OwnershipQuery(
            context.host(), host, engine.incarnation(), round.number(), fencingToken, hostsDigest);
    peers.send(host, query);
    round.selectHelper(context.now()).ifPresent(helper -> peers.send(helper, query));
  }

  /** Records the answer of a host; returns whether all hosts consent now. */
  boolean receive(OwnershipAnswer answer) {
    long now = context.now();
    String host = answer.answerer();
    OwnershipClaims claims = state.engineSelector().claims();
    claims.recordToken(engine.incarnation(), answer.highestToken());
    answer
        .objection()
        .filter(objection -> objection.reason().equals(OwnershipObjection.OWNED))
        .ifPresent(
            objection ->
                claims.recordClaim(engine.incarnation(), host, answer.highestToken(), now));
    if (!state.knowsHosts(answer.hosts())) {
      // Asked again: this host or the other one is about to learn of a host.
      log.writeObjection(host, new OwnershipObjection("hosts-differ", "", 0));
    } else if (answer.objection().isPresent()) {
      recordObjection(host, answer, answer.objection().get());
    } else {
      round.recordConsent(host, answer.round());
    }
    return round.isGranted(state.ownershipHosts(), now);
  }

  private void recordObjection(String host, OwnershipAnswer answer, OwnershipObjection objection) {
    long waitMillis = Math.max(RETRY_MILLIS, objection.waitMillis());
    if (round.recordObjection(answer.round(), waitMillis, context.now())) {
      log.writeObjection(host, objection);
    }
  }

  boolean isGranted() {
    return round.isGranted(state.ownershipHosts(), context.now());
  }

  /** Returns the time until this host may ask again after an objection, in milliseconds. */
  long remainingMillis() {
    return round.remainingMillis(context.now());
  }

  /**
   * Lets another host take the engine over unless this host competes with it and comes first.
   *
   * @param host the other host
   * @return the objection of this host, if any
   */
  Optional<OwnershipObjection> yieldTo(String host) {
    List<String> ranking = state.ownerRanking(engine);
    int ownRank = ranking.indexOf(context.host());
    int otherRank = ranking.indexOf(host);
    boolean first = ownRank >= 0 && (otherRank < 0 || ownRank < otherRank);
    if (first && round.isCompeting(context.now())) {
      return Optional.of(new OwnershipObjection("competing", context.host(), RETRY_MILLIS));
    }
    round.cancel(RETRY_MILLIS, context.now());
    return Optional.empty();
  }

  /** Ends the open round: its consent was for one takeover. */
  void reset() {
    round.cancel(0, context.now());
  }
}
