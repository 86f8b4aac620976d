package org.lentilhinge.runtime.forward;

import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.message.PeerMessage;

/** Selects the host that reads the published store for its zone, and sends what it has read. */
final class ZoneReader implements ZoneGroup {

  private final HostContext context;
  private final HostState state;
  private final PeerSender peers;
  private long selectedGeneration = -1;
  private int rank;

  ZoneReader(HostContext context, HostState state, PeerSender peers) {
    this.context = context;
    this.state = state;
    this.peers = peers;
  }

  @Override
  public int rank() {
    if (state.hosts().generation() != selectedGeneration) {
      selectedGeneration = state.hosts().generation();
      String zone = context.settings().zone();
      long ownWeight = RendezvousHash.weight(zone, context.host());
      rank =
          (int)
              state.hosts().candidates().stream()
                  .filter(host -> host.zone().equals(zone))
                  .map(host -> RendezvousHash.weight(zone, host.host()))
                  .filter(weight -> Long.compareUnsigned(weight, ownWeight) > 0)
                  .count();
    }
    return rank;
  }

  @Override
  public void sendToZone(PeerMessage news) {
    String zone = context.settings().zone();
    state.hosts().liveHosts().stream()
        .filter(host -> host.zone().equals(zone))
        .forEach(host -> peers.send(host.host(), news));
  }
}
