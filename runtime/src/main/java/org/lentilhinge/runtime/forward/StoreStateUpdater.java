package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.lentilhinge.fleet.FleetChange;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.published.AdapterRelease;
import org.lentilhinge.published.DeclaredState;
import org.lentilhinge.published.EndpointListing;

/** Applies the contents of the published store to the state of this host. */
final class StoreStateUpdater implements StoreListener {

  private final HostContext context;
  private final HostState state;
  private final EngineSchedulers schedulers;
  private final EndpointDepartureRunner departures;
  private final List<EndpointPool> pools;
  private final Runnable afterRead;

  private boolean listingFailed;
  private boolean readAtAll;
  private long era;
  private volatile long appliedVersion;

  /**
   * Creates an updater.
   *
   * @param afterRead called after each read, when requests that waited for it may be forwarded
   */
  StoreStateUpdater(
      HostContext context,
      HostState state,
      EngineSchedulers schedulers,
      EndpointDepartureRunner departures,
      List<EndpointPool> pools,
      Runnable afterRead) {
    this.context = context;
    this.state = state;
    this.schedulers = schedulers;
    this.departures = departures;
    this.pools = pools;
    this.afterRead = afterRead;
    context
        .metrics()
        .registerGauge(
            MetricRegistry.name("forward", "configuration", "version"), () -> appliedVersion);
  }

  @Override
  public void onRead(StoreRevision revision, long requestedAtMillis) {
    if (revision.era() > era) {
      // The first read of a host is no sign of a restore.
      String event = readAtAll ? "store-restored" : "store-era";
      context.log().line(event, "era", revision.era(), "revision", revision.revision());
      era = revision.era();
    }
    readAtAll = true;
    state.recordRevision(revision, requestedAtMillis);
  }

  @Override
  public void onListing(EndpointListing listing) {
    if (listingFailed) {
      listingFailed = false;
      context.log().line("store-regained", "reading", "endpoints");
    }
    for (FleetChange change :
        state
            .endpoints()
            .updateFromListing(listing.endpoints(), listing.revision(), context.now())) {
      applyChange(change);
    }
    afterRead.run();
  }

  private void applyChange(FleetChange change) {
    context
        .log()
        .line(
            "endpoint",
            "id",
            change.endpoint().id(),
            "change",
            change.kind(),
            "service",
            change.endpoint().service(),
            "address",
            change.endpoint().address(),
            "revision",
            change.endpoint().revision());
    if (change.kind() == FleetChange.Kind.DRAINING) {
      departures.recordListed(change.endpoint());
    }
    if (change.kind() == FleetChange.Kind.GONE) {
      String incarnation = change.endpoint().incarnation();
      schedulers.removeEngine(incarnation);
      state.engineSelector().removeEngine(incarnation);
      state.scores().remove(incarnation);
      state.limits().remove(incarnation);
      state.pauses().remove(incarnation);
      departures.remove(incarnation);
      pools.forEach(pool -> pool.removeAddress(change.endpoint().address()));
      String id = change.endpoint().id();
      context.metrics().remove(MetricRegistry.name(Forwarder.FOREIGN_RESPONSES, id));
      context.metrics().remove(MetricRegistry.name(Forwarder.OVERSIZED_RESPONSES, id));
    }
  }

  @Override
  public void onDeclaredState(DeclaredState declared, String source, long readMillis) {
    declared
        .configuration()
        .ifPresent(configuration -> applyConfiguration(configuration, source, readMillis));
    for (AdapterRelease release : declared.releases()) {
      if (state.recordRelease(release)) {
        context
            .log()
            .line(
                "adapter-version",
                "adapter",
                release.model() + '/' + release.adapter(),
                "version",
                release.version());
      }
    }
    afterRead.run();
  }

  private void applyConfiguration(
      ForwardConfiguration configuration, String source, long readMillis) {
    if (state.applyConfiguration(configuration)) {
      appliedVersion = configuration.version().number();
      context
          .log()
          .line(
              "configuration",
              "version",
              configuration.version(),
              "routes",
              configuration.routes().size(),
              "services",
              configuration.services().size(),
              "from",
              source,
              "readMs",
              readMillis);
    }
  }

  @Override
  public void onFailure(String data, String cause) {
    if (!listingFailed) {
      listingFailed = data.equals("endpoints");
      context.log().line("store-failed", "reading", data, "why", cause);
    }
  }
}
