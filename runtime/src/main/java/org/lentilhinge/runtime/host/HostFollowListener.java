package org.lentilhinge.runtime.host;

import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.follow.PublishedVersion;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.runtime.decision.Decision;
import org.lentilhinge.runtime.decision.DecisionKind;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.metric.MetricNames;
import org.lentilhinge.runtime.platform.FollowDriver;
import org.lentilhinge.runtime.platform.FollowListener;

/** Applies accepted configurations, and informs the configuration follower of its peers. */
final class HostFollowListener implements FollowListener {

  private final HostEventLoop loop;
  private final AppliedConfiguration appliedConfiguration;
  private final Consumer<Configuration> onConfigurationApplied;
  private final DecisionLog decisions;
  private final MetricRegistry metrics;
  private Set<HostId> zonePeers = Set.of();
  private Set<HostId> otherZonePeers = Set.of();
  private boolean peersReported;

  HostFollowListener(
      HostEventLoop loop,
      AppliedConfiguration appliedConfiguration,
      Consumer<Configuration> onConfigurationApplied,
      DecisionLog decisions,
      MetricRegistry metrics) {
    this.loop = loop;
    this.appliedConfiguration = appliedConfiguration;
    this.onConfigurationApplied = onConfigurationApplied;
    this.decisions = decisions;
    this.metrics = metrics;
  }

  @Override
  public void onApplied(PublishedVersion version, Configuration configuration, Findings findings) {
    metrics.counter(MetricNames.CONFIGURATIONS_APPLIED).inc();
    loop.run(
        () -> {
          appliedConfiguration.set(configuration);
          onConfigurationApplied.accept(configuration);
          String reason = String.format(Locale.ROOT, "version %s applied", version.version());
          decisions.write(Decision.of(DecisionKind.CONFIGURATION, reason));
        });
  }

  @Override
  public void onRejected(PublishedVersion version, Findings findings) {
    metrics.counter(MetricNames.CONFIGURATIONS_REJECTED).inc();
    String reason =
        String.format(
            Locale.ROOT,
            "version %s rejected: %d findings, the first: %s",
            version.version(),
            findings.list().size(),
            findings.list().stream().findFirst().map(Object::toString).orElse("none"));
    decisions.write(Decision.of(DecisionKind.CONFIGURATION, reason));
  }

  /** Updates the peers of the configuration follower if they have changed. */
  void updatePeers(FollowDriver driver, HostId self, ZoneId zone) {
    Set<HostId> livePeers = new HashSet<>(loop.host().liveHosts(zone, loop.nowMillis()));
    livePeers.remove(self);
    Set<HostId> otherZones = new HashSet<>(loop.host().knownHosts());
    otherZones.removeIf(
        host -> loop.host().listing(host).filter(listed -> !listed.zone().equals(zone)).isEmpty());
    if (peersReported && livePeers.equals(zonePeers) && otherZones.equals(otherZonePeers)) {
      return;
    }
    peersReported = true;
    zonePeers = livePeers;
    otherZonePeers = otherZones;
    driver.updatePeers(livePeers, loop.host().listedHosts(zone).size(), otherZones);
  }
}
