package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Applies changed settings to a running host. The seeds take effect immediately; all other settings
 * take effect at the next start.
 */
final class SettingsReload {

  private static final String NONE = "none";

  private final ForwardSettings startSettings;
  private final EventLog log;
  private final Consumer<List<String>> seedListener;
  private List<String> seeds;

  /**
   * Creates the settings of a host that has just started.
   *
   * @param startSettings the settings at the start
   * @param log receives a line for each reload, without the values of secrets
   * @param seedListener receives the addresses of the seeds at each reload
   */
  SettingsReload(ForwardSettings startSettings, EventLog log, Consumer<List<String>> seedListener) {
    this.startSettings = startSettings;
    this.log = log;
    this.seedListener = seedListener;
    seeds = startSettings.seeds();
  }

  void apply(ForwardSettings settings) {
    boolean seedsChanged = !settings.seeds().equals(seeds);
    seeds = settings.seeds();
    List<String> pending =
        startSettings().entrySet().stream()
            .filter(
                entry ->
                    !entry.getValue().apply(settings).equals(entry.getValue().apply(startSettings)))
            .map(Map.Entry::getKey)
            .toList();
    log.line(
        "reload",
        "seeds",
        String.join(",", seeds),
        "applied",
        seedsChanged ? "peer.seeds" : NONE,
        "atNextStart",
        pending.isEmpty() ? NONE : String.join(",", pending));
    seedListener.accept(seeds);
  }

  /** Returns the settings that take effect at the next start, by their names in the file. */
  private static Map<String, Function<ForwardSettings, Object>> startSettings() {
    return new TreeMap<>(
        Map.ofEntries(
            Map.entry("host.name", ForwardSettings::host),
            Map.entry("host.zone", ForwardSettings::zone),
            Map.entry("host.region", ForwardSettings::region),
            Map.entry("zones", ForwardSettings::zoneRegions),
            Map.entry("callers.listen", ForwardSettings::callerAddress),
            Map.entry("ready.listen", ForwardSettings::readyAddress),
            Map.entry("ready.path", ForwardSettings::readyPath),
            Map.entry("peer.address", ForwardSettings::peerAddress),
            Map.entry("peer.secret", ForwardSettings::peerSecret),
            Map.entry("store.address", ForwardSettings::storeAddress),
            Map.entry("metrics.port", ForwardSettings::metricsPort),
            Map.entry("bounds", ForwardSettings::bounds),
            Map.entry("zone-traffic", ForwardSettings::zoneTraffic)));
  }
}
