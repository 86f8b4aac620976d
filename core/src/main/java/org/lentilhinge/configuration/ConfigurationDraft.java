package org.lentilhinge.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.lentilhinge.finding.FindingCollector;
import org.lentilhinge.finding.Place;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ServiceId;
import org.lentilhinge.identity.ZoneId;

/** Collects the declarations of a configuration while they are read and checked. */
final class ConfigurationDraft {

  private static final Policy DEFAULT_POLICY = new Policy(1, 1, 2_000, 120_000);

  private final FindingCollector collector;
  private final Map<ZoneId, Zone> zones = new LinkedHashMap<>();
  private final Map<ZoneId, Integer> zoneShares = new LinkedHashMap<>();
  private final Map<AdapterId, Adapter> adapters = new LinkedHashMap<>();
  private final Map<CallerId, Caller> callers = new LinkedHashMap<>();
  private final List<Rule> rules = new ArrayList<>();
  private final Map<EndpointId, Engine> engines = new LinkedHashMap<>();
  private final Map<ServiceId, Service> services = new LinkedHashMap<>();
  private final Map<String, Place> firstUses = new LinkedHashMap<>();
  private final Set<BaseModelId> servedModels = new HashSet<>();
  private ConfigurationVersion version = ConfigurationVersion.NONE;
  private double loadsPerSecond = 2.5;
  private int loadsInFlight = 8;
  private Optional<RegionId> storeRegion = Optional.empty();
  private Policy policy = DEFAULT_POLICY;

  ConfigurationDraft(FindingCollector collector) {
    this.collector = collector;
  }

  FindingCollector collector() {
    return collector;
  }

  Map<ZoneId, Zone> zones() {
    return zones;
  }

  Map<ZoneId, Integer> zoneShares() {
    return zoneShares;
  }

  Map<AdapterId, Adapter> adapters() {
    return adapters;
  }

  Map<CallerId, Caller> callers() {
    return callers;
  }

  List<Rule> rules() {
    return rules;
  }

  Map<EndpointId, Engine> engines() {
    return engines;
  }

  Map<ServiceId, Service> services() {
    return services;
  }

  Set<BaseModelId> servedModels() {
    return servedModels;
  }

  ConfigurationVersion version() {
    return version;
  }

  void setVersion(ConfigurationVersion published) {
    version = published;
  }

  void setStore(double rate, int concurrency, Optional<RegionId> region) {
    loadsPerSecond = rate;
    loadsInFlight = concurrency;
    storeRegion = region;
  }

  void setPolicy(Policy declared) {
    policy = declared;
  }

  /**
   * Records the use of a value that must be unique, and reports a second use as an error. An empty
   * value, which represents a missing value, is ignored.
   *
   * @param section the section that reports the error
   * @param at the place of the value
   * @param kind the kind of value, such as "address"
   * @param value the value
   */
  void recordUnique(EntrySection section, Place at, String kind, String value) {
    if (value.isEmpty()) {
      return;
    }
    Place first = firstUses.putIfAbsent(kind + ' ' + value, at);
    if (first != null) {
      section.error(at, kind + " '" + value + "' is already used at " + first);
    }
  }

  /**
   * Parses a reference to a declared name.
   *
   * @param <T> the type of the name
   * @param section the section that contains the reference
   * @param at the place of the reference
   * @param kind the kind of item referred to, such as "zone"
   * @param value the text of the name
   * @param constructor creates the name from its text
   * @param declared the declared names
   * @return the name, or empty if it is malformed or not declared
   */
  <T> Optional<T> resolveReference(
      EntrySection section,
      Place at,
      String kind,
      String value,
      Function<String, T> constructor,
      Set<T> declared) {
    Optional<T> name = section.parseName(at, value, constructor);
    if (name.isPresent() && !declared.contains(name.get())) {
      section.error(at, kind + " '" + value + "' is not declared");
      return Optional.empty();
    }
    return name;
  }

  Configuration build() {
    return new Configuration(
        version,
        zones,
        adapters,
        callers,
        rules,
        engines,
        services,
        new StoreBudget(loadsPerSecond, loadsInFlight, zoneShares, storeRegion),
        policy);
  }
}
