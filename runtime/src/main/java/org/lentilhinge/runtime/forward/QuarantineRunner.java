package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.quarantine.QuarantineChange;
import org.lentilhinge.quarantine.RequestObservation;
import org.lentilhinge.quarantine.RequestObservations;
import org.lentilhinge.quarantine.RequestQuarantine;

/** Runs the quarantine of prompts: exchanges the observations of all hosts, and logs changes. */
final class QuarantineRunner {

  private final HostContext context;
  private final RequestQuarantine quarantine;
  private final HostBroadcast broadcast;

  QuarantineRunner(HostContext context, RequestQuarantine quarantine, HostBroadcast broadcast) {
    this.context = context;
    this.quarantine = quarantine;
    this.broadcast = broadcast;
  }

  /** Returns how long requests with these parts are refused; empty if they may be sent. */
  OptionalLong remainingMillis(List<String> parts) {
    return quarantine.remainingMillis(parts, context.now());
  }

  /** Records that the connection of a request ended before its response went on. */
  void recordBroken(String incarnation, List<String> parts, long startedAtMillis) {
    logChange(quarantine.recordBroken(incarnation, parts, startedAtMillis, context.now()));
    sendUnsent();
  }

  /** Records that the response of a request went on. */
  void recordSurvived(String incarnation, List<String> parts, long startedAtMillis) {
    logChange(quarantine.recordSurvived(incarnation, parts, startedAtMillis, context.now()));
  }

  /** Handles the observations of another host, and passes them on if this host is their relay. */
  void receive(RequestObservations message) {
    broadcast.receive(message);
    for (RequestObservation observation : message.observations()) {
      logChange(quarantine.receive(observation, context.now()));
    }
  }

  /** Sends what the other hosts do not know yet. Must be called several times per second. */
  void sendUnsent() {
    List<RequestObservation> observations = quarantine.takeUnsent(context.now());
    if (observations.isEmpty()) {
      return;
    }
    broadcast.send(new RequestObservations(context.host(), false, observations));
  }

  private void logChange(Optional<QuarantineChange> changed) {
    if (changed.isEmpty()) {
      return;
    }
    QuarantineChange change = changed.get();
    context
        .metrics()
        .counter(MetricRegistry.name("forward", "quarantine", change.cause().name()))
        .inc();
    context
        .log()
        .line(
            "quarantine",
            "why",
            change.cause(),
            "parts",
            String.join(",", change.parts()),
            "crashes",
            change.crashes());
  }
}
