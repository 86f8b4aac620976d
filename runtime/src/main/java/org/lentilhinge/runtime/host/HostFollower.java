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

/** Applies accepted configurations, and informs the configuration follower of the live hosts. */
final class HostFollower implements FollowListener {

  private final HostLoop loop;
  private final CurrentConfiguration current;
  private final Consumer<Configuration> inForce;
  private final DecisionLog decisions;
  private final MetricRegistry metrics;
  private Set<HostId> zonePeers = Set.of();
  private Set<HostId> outsidePeers = Set.of();
  private boolean told;

  HostFollower(
      HostLoop loop,
      CurrentConfiguration appliedConfiguration,
      Consumer<Configuration> onConfigurationApplied,
      DecisionLog decisions,
      MetricRegistry metrics) {
    this.loop = loop;
    this.current = appliedConfiguration;
    this.inForce = onConfigurationApplied;
    this.decisions = decisions;
    this.metrics = metrics;
  }

  @Override
  public void applied(PublishedVersion version, Configuration configuration, Findings findings) {
    metrics.counter(MetricNames.CONFIGURATIONS_APPLIED).inc();
    loop.run(
        () -> {
          current.set(configuration);
          inForce.accept(configuration);
          String text = String.format(Locale.ROOT, "version %s applied", version.version());
          decisions.write(Decision.of(DecisionKind.CONFIGURATION, text));
        });
  }

  @Override
  public void rejected(PublishedVersion version, Findings findings) {
    metrics.counter(MetricNames.CONFIGURATIONS_REJECTED).inc();
    String text =
        String.format(
            Locale.ROOT,
            "version %s rejected: %d findings, the first: %s",
            version.version(),
            findings.list().size(),
            findings.list().stream().findFirst().map(Object::toString).orElse("none"));
    decisions.write(Decision.of(DecisionKind.CONFIGURATION, text));
  }

  /** Updates the peers of the configuration follower, if they have changed. */
  void tellPeers(FollowDriver driver, HostId self, ZoneId zone) {
    Set<HostId> live = new HashSet<>(loop.host().liveHosts(zone, loop.nowMillis()));
    live.remove(self);
    Set<HostId> otherZones = new HashSet<>(loop.host().knownHosts());
    otherZones.removeIf(
        host -> loop.host().listing(host).filter(listed -> !listed.zone().equals(zone)).isEmpty());
    if (told && live.equals(zonePeers) && otherZones.equals(outsidePeers)) {
      return;
    }
    told = true;
    zonePeers = live;
    outsidePeers = otherZones;
    driver.changePeers(live, loop.host().listedHosts(zone).size(), otherZones);
  }
}
