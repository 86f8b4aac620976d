package org.lentilhinge.host;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.grant.GrantLedger;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.placement.EndpointPlacement;
import org.lentilhinge.placement.EngineAnnouncer;

/** Holds the state that an owner keeps for one engine. */
final class OwnedEngine {

  /** A gateway that receives a reply when the load that it waits for has ended. */
  record WaitingGateway(HostIncarnation gateway, long sequence) {}

  private record Wait(AdapterVersion version, HostId gateway) {}

  private final Engine engine;
  private final GrantLedger ledger;
  private final Map<Wait, WaitingGateway> waiting = new HashMap<>();
  private final Map<AdapterVersion, Long> uncertainUnloads = new HashMap<>();
  private final Set<AdapterVersion> loadsInFlight = new HashSet<>();
  private final Set<AdapterVersion> lostLoads = new HashSet<>();
  private Optional<EndpointPlacement> placement = Optional.empty();
  private Optional<EngineAnnouncer> announcer = Optional.empty();
  private Optional<EngineState> report = Optional.empty();
  private long readDueMillis;
  private int ordersInFlight;

  OwnedEngine(Engine engine, GrantLedger ledger) {
    this.engine = engine;
    this.ledger = ledger;
  }

  EndpointId endpoint() {
    return engine.id();
  }

  Engine engine() {
    return engine;
  }

  GrantLedger ledger() {
    return ledger;
  }

  Optional<EndpointPlacement> placement() {
    return placement;
  }

  Optional<EngineAnnouncer> announcer() {
    return announcer;
  }

  Optional<EngineState> report() {
    return report;
  }

  boolean holds(AdapterVersion version) {
    return placement
        .map(EndpointPlacement::resident)
        .or(() -> report.map(EngineState::resident))
        .orElse(Set.of())
        .contains(version);
  }

  void report(EngineState state) {
    report = Optional.of(state);
  }

  void place(EndpointPlacement newPlacement, EngineAnnouncer newAnnouncer) {
    placement = Optional.of(newPlacement);
    announcer = Optional.of(newAnnouncer);
  }

  void displace() {
    placement = Optional.empty();
    announcer = Optional.empty();
  }

  void await(AdapterVersion version, HostIncarnation gateway, long sequence) {
    waiting.put(new Wait(version, gateway.host()), new WaitingGateway(gateway, sequence));
  }

  Optional<WaitingGateway> answered(AdapterVersion version, HostId gateway) {
    return Optional.ofNullable(waiting.remove(new Wait(version, gateway)));
  }

  /**
   * Returns whether the report of the engine is due to be read; if it is, schedules the next read.
   */
  boolean isReadDue(long nowMillis, long intervalMillis) {
    if (nowMillis < readDueMillis) {
      return false;
    }
    readDueMillis = nowMillis + intervalMillis;
    return true;
  }

  void orderStarted() {
    ordersInFlight++;
  }

  void orderEnded() {
    ordersInFlight = Math.max(0, ordersInFlight - 1);
  }

  void loadStarted(AdapterVersion version) {
    loadsInFlight.add(version);
  }

  /** Abandons the loads that were ordered from the previous incarnation of the engine. */
  void loadsLost() {
    lostLoads.addAll(loadsInFlight);
    loadsInFlight.clear();
  }

  /** Records the end of a load; returns whether the load had been abandoned before. */
  boolean loadEnded(AdapterVersion version) {
    if (lostLoads.remove(version)) {
      return true;
    }
    loadsInFlight.remove(version);
    return false;
  }

  int ordersInFlight() {
    return ordersInFlight;
  }

  /** Records that an unload got no answer, so that only a later report shows its outcome. */
  void unloadUncertain(AdapterVersion version, long confirmableFromMillis) {
    uncertainUnloads.put(version, confirmableFromMillis);
  }

  /** Removes and returns the unloads whose outcome a report shows. */
  Set<AdapterVersion> takeSettledUnloads(long takenAfterMillis) {
    Set<AdapterVersion> settled = new HashSet<>();
    uncertainUnloads.forEach(
        (version, confirmableFromMillis) -> {
          if (takenAfterMillis >= confirmableFromMillis) {
            settled.add(version);
          }
        });
    uncertainUnloads.keySet().removeAll(settled);
    return settled;
  }
}
