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

  private record WaitKey(AdapterVersion version, HostId gateway) {}

  private final Engine engine;
  private final GrantLedger ledger;
  private final Map<WaitKey, WaitingGateway> waitingGateways = new HashMap<>();
  private final Map<AdapterVersion, Long> unconfirmedUnloads = new HashMap<>();
  private final Set<AdapterVersion> loadsInFlight = new HashSet<>();
  private final Set<AdapterVersion> abandonedLoads = new HashSet<>();
  private Optional<EndpointPlacement> placement = Optional.empty();
  private Optional<EngineAnnouncer> announcer = Optional.empty();
  private Optional<EngineState> report = Optional.empty();
  private long nextReadAtMillis;
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

  boolean isResident(AdapterVersion version) {
    return placement
        .map(EndpointPlacement::resident)
        .or(() -> report.map(EngineState::resident))
        .orElse(Set.of())
        .contains(version);
  }

  void report(EngineState state) {
    report = Optional.of(state);
  }

  void setPlacement(EndpointPlacement newPlacement, EngineAnnouncer newAnnouncer) {
    placement = Optional.of(newPlacement);
    announcer = Optional.of(newAnnouncer);
  }

  void clearPlacement() {
    placement = Optional.empty();
    announcer = Optional.empty();
  }

  void addWaitingGateway(AdapterVersion version, HostIncarnation gateway, long sequence) {
    waitingGateways.put(
        new WaitKey(version, gateway.host()), new WaitingGateway(gateway, sequence));
  }

  Optional<WaitingGateway> removeWaitingGateway(AdapterVersion version, HostId gateway) {
    return Optional.ofNullable(waitingGateways.remove(new WaitKey(version, gateway)));
  }

  /**
   * Returns whether the report of the engine is due to be read; if it is, schedules the next read.
   */
  boolean startReadIfDue(long nowMillis, long intervalMillis) {
    if (nowMillis < nextReadAtMillis) {
      return false;
    }
    nextReadAtMillis = nowMillis + intervalMillis;
    return true;
  }

  void recordOrderStart() {
    ordersInFlight++;
  }

  void recordOrderEnd() {
    ordersInFlight = Math.max(0, ordersInFlight - 1);
  }

  void recordLoadStart(AdapterVersion version) {
    loadsInFlight.add(version);
  }

  /** Abandons the loads that were ordered from the previous incarnation of the engine. */
  void abandonLoads() {
    abandonedLoads.addAll(loadsInFlight);
    loadsInFlight.clear();
  }

  /** Records the end of a load; returns whether the load had been abandoned before. */
  boolean endLoad(AdapterVersion version) {
    if (abandonedLoads.remove(version)) {
      return true;
    }
    loadsInFlight.remove(version);
    return false;
  }

  int ordersInFlight() {
    return ordersInFlight;
  }

  /** Records that an unload got no answer, so that only a later report shows its outcome. */
  void recordUnconfirmedUnload(AdapterVersion version, long confirmableFromMillis) {
    unconfirmedUnloads.put(version, confirmableFromMillis);
  }

  /** Removes and returns the unloads whose outcome a report shows. */
  Set<AdapterVersion> removeConfirmableUnloads(long takenAfterMillis) {
    Set<AdapterVersion> confirmable = new HashSet<>();
    unconfirmedUnloads.forEach(
        (version, confirmableFromMillis) -> {
          if (takenAfterMillis >= confirmableFromMillis) {
            confirmable.add(version);
          }
        });
    unconfirmedUnloads.keySet().removeAll(confirmable);
    return confirmable;
  }
}
