package org.lentilhinge.runtime.host;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import org.lentilhinge.follow.FollowStatus;
import org.lentilhinge.host.EntryHost;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.Member;
import org.lentilhinge.routing.EngineView;
import org.lentilhinge.runtime.gateway.HostStatus;
import org.lentilhinge.runtime.platform.FollowDriver;

/** Reports the status of an entry host and its view of the fleet. */
final class HostStatusReporter implements HostStatus {

  private static final long ANNOUNCEMENT_TIMEOUT_MILLIS = 20_000;

  private final HostIncarnation self;
  private final ZoneId zone;
  private final HostEventLoop loop;
  private final AppliedConfiguration configuration;
  private final FollowDriver follower;
  private final long startedAtMillis;
  private volatile boolean stopping;

  HostStatusReporter(
      HostIncarnation self,
      ZoneId zone,
      HostEventLoop loop,
      AppliedConfiguration configuration,
      FollowDriver follower) {
    this.self = self;
    this.zone = zone;
    this.loop = loop;
    this.configuration = configuration;
    this.follower = follower;
    this.startedAtMillis = loop.nowMillis();
  }

  /** Marks the host as not ready, so that the load balancer sends no more callers. */
  void markStopping() {
    stopping = true;
  }

  @Override
  public boolean isReady() {
    return configuration.isPresent()
        && !stopping
        && (hasAnnouncedEngine() || isAnnouncementTimedOut());
  }

  /**
   * Returns whether an owner has announced an engine, so that requests can be routed immediately.
   */
  private boolean hasAnnouncedEngine() {
    long nowMillis = loop.nowMillis();
    return loop.host()
        .fleet()
        .filter(
            fleet ->
                fleet.engines().stream()
                    .anyMatch(view -> view.announcementAgeMillis(nowMillis) < Long.MAX_VALUE))
        .isPresent();
  }

  /**
   * Returns whether the wait for an announced engine has timed out. The host then becomes ready
   * without an engine, because it can still serve bookings.
   */
  private boolean isAnnouncementTimedOut() {
    return loop.nowMillis() - startedAtMillis >= ANNOUNCEMENT_TIMEOUT_MILLIS;
  }

  @Override
  public JsonObject report() {
    EntryHost host = loop.host();
    return new JsonObject()
        .put("host", self.host().value())
        .put("incarnation", self.number())
        .put("zone", zone.value())
        .put("ready", isReady())
        .put("stopping", stopping)
        .put("configuration", configuration())
        .put("requests_running", host.runningRequests())
        .put("requests_waiting", host.waitingRequests())
        .put("hosts", hosts())
        .put("engines", engines());
  }

  private JsonObject configuration() {
    FollowStatus status = follower.status();
    JsonObject report =
        new JsonObject()
            .put("version", status.appliedVersion().version().number())
            .put("reader", status.reader())
            .put("stale_answers", status.staleAnswers());
    status.serviceFailure().ifPresent(failure -> report.put("service_failure", failure));
    status
        .rejectedVersion()
        .ifPresent(
            rejected -> {
              JsonArray findings = new JsonArray();
              status
                  .rejectionFindings()
                  .list()
                  .forEach(finding -> findings.add(finding.toString()));
              report.put("rejected_version", rejected.version().number());
              report.put("rejected_findings", findings);
            });
    return report;
  }

  private JsonArray hosts() {
    JsonArray hosts = new JsonArray();
    for (HostId known : loop.host().knownHosts()) {
      loop.host().member(known, loop.nowMillis()).ifPresent(member -> hosts.add(describe(member)));
    }
    return hosts;
  }

  private static JsonObject describe(Member member) {
    return new JsonObject()
        .put("host", member.host().value())
        .put("zone", member.zone().value())
        .put("state", member.state().name().toLowerCase(Locale.ROOT))
        .put("configuration", member.configuration().number());
  }

  private JsonArray engines() {
    JsonArray engines = new JsonArray();
    loop.host()
        .fleet()
        .ifPresent(fleet -> fleet.engines().forEach(view -> engines.add(describe(view))));
    return engines;
  }

  private JsonObject describe(EngineView view) {
    JsonArray resident = new JsonArray();
    view.resident().stream().sorted().forEach(version -> resident.add(version.toString()));
    return new JsonObject()
        .put("engine", view.engine().id().value())
        .put("zone", view.engine().zone().value())
        .put("owned", loop.host().ownedEngines().contains(view.engine().id()))
        .put("usable", view.isUsable(loop.nowMillis()))
        .put("work", view.outstandingRequests())
        .put("resident", resident);
  }
}
