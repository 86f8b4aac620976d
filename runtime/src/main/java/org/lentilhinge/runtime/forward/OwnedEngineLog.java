package org.lentilhinge.runtime.forward;

import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.permit.AdapterOrder;
import org.lentilhinge.permit.EngineCommand;
import org.lentilhinge.permit.EngineOwnership;

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

  void writeAnswer(EngineCommand.Answer answer) {
    log.line(
        answer.answer().granted() ? "permit" : "permit-refused",
        "engine",
        engine.id(),
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
  }

  void writeOrder(String event, AdapterOrder order, Object outcome) {
    log.line(
        event,
        "engine",
        engine.id(),
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
        ownership.fencingToken().orElse(0));
  }
}
