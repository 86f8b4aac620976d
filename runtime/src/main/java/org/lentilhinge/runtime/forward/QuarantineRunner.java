package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.OptionalLong;
import org.lentilhinge.quarantine.QuarantineChange;
import org.lentilhinge.quarantine.RequestObservation;
import org.lentilhinge.quarantine.RequestObservations;
import org.lentilhinge.quarantine.RequestQuarantine;
import org.lentilhinge.quarantine.RequestRun;

/** Runs the quarantine of requests: exchanges the observations of all hosts, and logs changes. */
final class QuarantineRunner {

  private final HostContext context;
  private final HostState state;
  private final RequestQuarantine quarantine;
  private final HostBroadcast broadcast;

  QuarantineRunner(
      HostContext context, HostState state, RequestQuarantine quarantine, HostBroadcast broadcast) {
    this.context = context;
    this.state = state;
    this.quarantine = quarantine;
    this.broadcast = broadcast;
  }

  /** Returns how long a request is refused; empty if it may be sent. */
  OptionalLong remainingMillis(List<String> parts, String digest) {
    return quarantine.remainingMillis(parts, digest, context.now());
  }

  /** Indicates whether a request that may have run should not be sent to another endpoint. */
  boolean isSuspected(String digest) {
    return quarantine.isSuspected(digest);
  }

  /** Records that the connection of a request ended. */
  void recordBroken(RequestRun run) {
    logChanges(quarantine.recordBroken(run, context.now()));
    sendUnsent();
  }

  /** Records that an endpoint responds to a request. */
  void recordSurvived(RequestRun run) {
    logChanges(quarantine.recordSurvived(run, context.now()));
  }

  /** Looks up the endpoints that seem to have crashed. Must be called several times per second. */
  void tick() {
    long now = context.now();
    if (state.endpoints().isListedSince(now - RequestQuarantine.EXPIRY_MILLIS, now)) {
      for (String incarnation : quarantine.unconfirmedCrashes(now)) {
        boolean listed = state.endpoints().findIncarnation(incarnation).isPresent();
        logChanges(quarantine.recordListed(incarnation, listed, now));
      }
    }
    sendUnsent();
  }

  /** Handles the observations of another host, and passes them on if this host is their relay. */
  void receive(RequestObservations message) {
    broadcast.receive(message);
    for (RequestObservation observation : message.observations()) {
      logChanges(quarantine.receive(observation, context.now()));
    }
  }

  private void sendUnsent() {
    List<RequestObservation> observations = quarantine.takeUnsent(context.now());
    if (observations.isEmpty()) {
      return;
    }
    broadcast.send(new RequestObservations(context.host(), false, observations));
  }

  private void logChanges(List<QuarantineChange> changes) {
    changes.forEach(this::logChange);
  }

  private void logChange(QuarantineChange change) {
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
            "digest",
            change.digest(),
            "crashes",
            change.crashes());
  }
}
