package org.lentilhinge.host;

import java.util.List;
import org.lentilhinge.grant.GrantRecall;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.HostId;

/** Recalls the grants of a version whose adapter slot is needed for a load. */
final class GrantRecaller {

  private final HostId self;

  GrantRecaller(HostId self) {
    this.self = self;
  }

  void recall(OwnedEngine engine, long nowMillis, List<HostCommand> commands) {
    engine
        .placement()
        .flatMap(placement -> placement.recallCandidate(nowMillis))
        .ifPresent(version -> recall(engine, version, commands));
  }

  private void recall(OwnedEngine engine, AdapterVersion version, List<HostCommand> commands) {
    GrantRecall recall = new GrantRecall(self, engine.endpoint(), version);
    engine
        .ledger()
        .pinningGateways(version)
        .forEach(gateway -> commands.add(new HostCommand.Send(gateway, recall)));
  }
}
