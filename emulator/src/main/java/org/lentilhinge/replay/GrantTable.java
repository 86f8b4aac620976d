package org.lentilhinge.replay;

import java.util.HashMap;
import java.util.Map;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.HostId;

/** Simulates an owner's ledger of grants for one engine. */
final class GrantTable {

  /** One gateway's grant of one adapter version. */
  private static final class Grant {
    private int requestsInUse;
    private long heldUntilMillis;

    private boolean isInUse(long nowMillis) {
      return requestsInUse > 0 || heldUntilMillis > nowMillis;
    }
  }

  private static final long GRANT_HOLD_MILLIS = 2_000;

  private final Map<AdapterVersion, Map<HostId, Grant>> grants = new HashMap<>();

  void grant(HostId gateway, AdapterVersion version, long nowMillis) {
    find(gateway, version).heldUntilMillis = nowMillis + GRANT_HOLD_MILLIS;
  }

  boolean hasGrant(HostId gateway, AdapterVersion version, long nowMillis) {
    Map<HostId, Grant> holders = grants.get(version);
    return holders != null
        && holders.containsKey(gateway)
        && holders.get(gateway).isInUse(nowMillis);
  }

  void startUse(HostId gateway, AdapterVersion version) {
    find(gateway, version).requestsInUse++;
  }

  void endUse(HostId gateway, AdapterVersion version, long nowMillis) {
    Grant grant = find(gateway, version);
    grant.requestsInUse = Math.max(0, grant.requestsInUse - 1);
    grant.heldUntilMillis = nowMillis + GRANT_HOLD_MILLIS;
  }

  boolean mayEvict(AdapterVersion version, long nowMillis) {
    Map<HostId, Grant> holders = grants.get(version);
    if (holders == null) {
      return true;
    }
    holders.values().removeIf(grant -> !grant.isInUse(nowMillis));
    if (holders.isEmpty()) {
      grants.remove(version);
    }
    return holders.isEmpty();
  }

  void clear() {
    grants.clear();
  }

  void removeGateway(HostId gateway) {
    grants.values().forEach(holders -> holders.remove(gateway));
  }

  private Grant find(HostId gateway, AdapterVersion version) {
    return grants
        .computeIfAbsent(version, absent -> new HashMap<>())
        .computeIfAbsent(gateway, absent -> new Grant());
  }
}
