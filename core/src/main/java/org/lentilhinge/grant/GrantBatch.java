package org.lentilhinge.grant;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;

/** Groups versions by owner and endpoint, so that each owner receives one message. */
final class GrantBatch {

  private final Map<HostId, Map<EndpointId, Map<AdapterVersion, GrantEntry>>> byOwner =
      new TreeMap<>();

  void add(HostId owner, EndpointId endpoint, AdapterVersion version, GrantEntry entry) {
    byOwner
        .computeIfAbsent(owner, absent -> new TreeMap<>())
        .computeIfAbsent(endpoint, absent -> new TreeMap<>())
        .put(version, entry);
  }

  Set<HostId> owners() {
    return byOwner.keySet();
  }

  List<EndpointVersions> versions(HostId owner) {
    List<EndpointVersions> versions = new ArrayList<>();
    byOwner
        .get(owner)
        .forEach(
            (endpoint, entries) ->
                versions.add(new EndpointVersions(endpoint, List.copyOf(entries.keySet()))));
    return versions;
  }

  List<EndpointDemand> demands(HostId owner) {
    List<EndpointDemand> demands = new ArrayList<>();
    byOwner
        .get(owner)
        .forEach(
            (endpoint, entries) -> demands.add(new EndpointDemand(endpoint, toDemands(entries))));
    return demands;
  }

  private static List<GrantDemand> toDemands(Map<AdapterVersion, GrantEntry> entries) {
    List<GrantDemand> demands = new ArrayList<>();
    entries.forEach(
        (version, entry) -> demands.add(new GrantDemand(version, entry.requestsToDemand())));
    return demands;
  }

  List<GrantEntry> entries(HostId owner) {
    return byOwner.get(owner).values().stream()
        .flatMap(entries -> entries.values().stream())
        .toList();
  }
}
