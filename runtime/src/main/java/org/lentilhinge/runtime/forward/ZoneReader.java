package org.lentilhinge.runtime.forward;

import java.util.List;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.overlay.HostRecord;

/** Selects the host that reads the published store for its zone, and sends what it has read. */
final class ZoneReader implements ZoneGroup {

  private final HostContext context;
  private final HostState state;
  private final PeerSender peers;
  private long selectedGeneration = -1;
  private boolean reader;

  ZoneReader(HostContext context, HostState state, PeerSender peers) {
    this.context = context;
    this.state = state;
    this.peers = peers;
  }

  @Override
  public boolean isReader() {
    if (state.hosts().generation() != selectedGeneration) {
      selectedGeneration = state.hosts().generation();
      String zone = context.settings().zone();
      List<String> members =
          state.hosts().candidates().stream()
              .filter(host -> host.zone().equals(zone))
              .map(HostRecord::host)
              .toList();
      reader =
          members.stream()
              .max(
                  (first, second) ->
                      Long.compareUnsigned(
                          RendezvousHash.weight(zone, first), RendezvousHash.weight(zone, second)))
              .filter(context.host()::equals)
              .isPresent();
    }
    return reader;
  }

  @Override
  public void sendToZone(PeerMessage news) {
    String zone = context.settings().zone();
    state.hosts().liveHosts().stream()
        .filter(host -> host.zone().equals(zone))
        .forEach(host -> peers.send(host.host(), news));
  }
}
