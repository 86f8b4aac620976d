package org.lentilhinge.runtime.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.permit.AdapterOrder;
import org.lentilhinge.permit.CustomerStanding;
import org.lentilhinge.permit.EngineCommand;
import org.lentilhinge.permit.EngineOwnership;
import org.lentilhinge.permit.OwnershipObjection;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitTerms;

/** Writes the log lines of one engine that this host schedules. */
final class OwnedEngineLog {

  private final EventLog log;
  private final FleetEndpoint engine;
  private final EngineOwnership ownership;

  OwnedEngineLog(EventLog log, FleetEndpoint engine, EngineOwnership ownership) {
    this.log = log;
    this.engine = engine;
    this.ownership = ownership;
  }

  void writeOwnershipLost(String to) {
    log.line("hold-lost", "engine", engine.id(), "to", to);
  }

  /** Writes on which knowledge this host took the engine over. */
  void writeTakeover(int rank, long revision, OwnershipEvidence evidence) {
    write(
        "hold-taken",
        evidence,
        "rank",
        rank,
        "revision",
        revision,
        "expected",
        ownership.expectedOrderCount().orElse(-1),
        "fence",
        ownership.fencingToken().orElse(0));
  }

  /** Writes that an order is about to be sent whose token is lower than one that is known. */
  void writeOrderBehind(OwnershipEvidence evidence) {
    write("order-behind", evidence, "fence", ownership.fencingToken().orElse(0));
  }

  /** Writes that another host claims the engine that this host owns. */
  void writeClaimHeard(String host, long fencingToken) {
    log.line(
        "claim-heard",
        "engine",
        engine.id(),
        "from",
        host,
        "claimFence",
        fencingToken,
        "fence",
        ownership.fencingToken().orElse(0));
  }

  /** Writes why this host may not own the engine at the moment. */
  void writeObjection(String from, OwnershipObjection objection) {
    log.line(
        "hold-objection",
        "engine",
        engine.id(),
        "from",
        from,
        "why",
        objection.reason(),
        "owner",
        objection.host(),
        "waitMs",
        objection.waitMillis());
  }

  private void write(String event, OwnershipEvidence evidence, Object... details) {
    List<Object> fields = withEngine(details);
    fields.addAll(evidence.fields());
    log.line(event, fields.toArray());
  }

  private List<Object> withEngine(Object... details) {
    List<Object> fields = new ArrayList<>(List.of("engine", engine.id()));
    fields.addAll(List.of(details));
    return fields;
  }

  void writeRecovery(String reason, int permits) {
    log.line("permits-recovered", "engine", engine.id(), "why", reason, "permits", permits);
  }

  void writeUnreachable(String reason) {
    log.line("engine-unreachable", "engine", engine.id(), "why", reason);
  }

  void writeReport(EngineReport report, String reason, double tokensPerMillisecond) {
    log.line(
        "engine-report",
        "engine",
        engine.id(),
        "why",
        reason,
        "orders",
        report.acceptedOrders(),
        "adapters",
        report.adapters().size(),
        "coming",
        report.loading().size(),
        "holding",
        ownership.isOwner(),
        "readsPerMs",
        Math.round(tokensPerMillisecond),
        "fence",
        ownership.fencingToken().orElse(0));
  }

  /** Writes an answer; a refusal in favor of another request states what decided about it. */
  void writeAnswer(EngineCommand.Answer answer) {
    List<Object> fields =
        withEngine(
            "host",
            answer.host(),
            "ask",
            answer.answer().permitId(),
            "why",
            answer.answer().reason(),
            "waitedMs",
            answer.waitedMillis(),
            "retryMs",
            answer.answer().retryAfterMillis());
    if (answer.answer().reason().equals(PermitAnswer.DISPLACED)) {
      Optional<CustomerStanding> standing = answer.request().terms().flatMap(PermitTerms::customer);
      fields.addAll(
          List.of(
              "customer",
              standing.map(CustomerStanding::name).orElse("-"),
              "priority",
              answer.request().priority(),
              "use",
              standing.map(CustomerStanding::relativeUse).orElse(1.0)));
    }
    log.line(answer.answer().granted() ? "permit" : "permit-refused", fields.toArray());
  }

  /** Writes how the engine answered an order, and on which knowledge it was sent. */
  void writeAnsweredOrder(AdapterOrder order, OrderResult result, OwnershipEvidence evidence) {
    write("order", evidence, orderFields(order, result));
  }

  void writeOrder(String event, AdapterOrder order, Object outcome) {
    log.line(event, withEngine(orderFields(order, outcome)).toArray());
  }

  private Object[] orderFields(AdapterOrder order, Object outcome) {
    return new Object[] {
      "op",
      order.load() ? "load" : "unload",
      "adapter",
      order.model() + '/' + order.adapter(),
      "version",
      order.version(),
      "outcome",
      outcome,
      "expected",
      ownership.expectedOrderCount().orElse(-1),
      "fence",
      ownership.fencingToken().orElse(0)
    };
  }
}
