package org.lentilhinge.host;

import java.util.random.RandomGenerator;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.grant.GrantLedger;
import org.lentilhinge.grant.GrantSettings;
import org.lentilhinge.lease.ZoneOwnership;
import org.lentilhinge.placement.EndpointPlacement;
import org.lentilhinge.placement.EvictionStrategy;
import org.lentilhinge.placement.LoadRanking;
import org.lentilhinge.placement.PlacementSettings;

/** Creates the state that this host keeps for an engine that it takes over. */
final class PlacementFactory {

  private final PlacementSettings settings;
  private final EvictionStrategy eviction;
  private final LoadRanking loadRanking;
  private final GrantSettings grantSettings;
  private final ZoneOwnership ownership;
  private final EventTime time;
  private final RandomGenerator random;

  PlacementFactory(
      PlacementSettings settings,
      EvictionStrategy eviction,
      LoadRanking loadRanking,
      GrantSettings grantSettings,
      ZoneOwnership ownership,
      EventTime time,
      RandomGenerator random) {
    this.settings = settings;
    this.eviction = eviction;
    this.loadRanking = loadRanking;
    this.grantSettings = grantSettings;
    this.ownership = ownership;
    this.time = time;
    this.random = random;
  }

  /** Creates the state of an engine whose grants are not yet known. */
  OwnedEngine createOwnedEngine(Engine engine) {
    return new OwnedEngine(engine, new GrantLedger(engine.id(), grantSettings));
  }

  EndpointPlacement createPlacement(OwnedEngine engine) {
    return new EndpointPlacement(
        engine.engine(),
        settings,
        eviction,
        loadRanking,
        version ->
            ownership.mayOrder(engine.endpoint(), time.nowMillis())
                && engine.ledger().mayEvict(version, time.nowMillis()),
        random);
  }
}
