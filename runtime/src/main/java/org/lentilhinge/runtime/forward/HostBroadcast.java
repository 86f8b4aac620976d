package org.lentilhinge.runtime.forward;

import org.lentilhinge.message.RelayedMessage;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.overlay.RelaySelector;

/** Sends messages to all hosts, in large zones through a relay. */
final class HostBroadcast {

  private final HostContext context;
  private final HostState state;
  private final RelaySelector relays;
  private final PeerSender peers;

  HostBroadcast(HostContext context, HostState state, RelaySelector relays, PeerSender peers) {
    this.context = context;
    this.state = state;
    this.relays = relays;
    this.peers = peers;
  }

  /** Sends a message of this host to all other hosts. */
  void send(RelayedMessage message) {
    for (RelaySelector.Target target :
        relays.select(state.hosts().liveHosts(), state.hosts()::isConnected)) {
      if (target.host().equals(context.host())) {
        passOn(message);
      } else {
        peers.send(target.host(), message.withRelayed(target.relays()));
      }
    }
  }

  /** Passes a received message on to the hosts of this zone if this host is its relay. */
  void receive(RelayedMessage message) {
    if (message.relayed()) {
      passOn(message);
    }
  }

  private void passOn(RelayedMessage message) {
    RelayedMessage passedOn = message.withRelayed(false);
    for (HostRecord host : state.hosts().liveHosts()) {
      if (host.zone().equals(context.settings().zone()) && !host.host().equals(message.host())) {
        peers.send(host.host(), passedOn);
      }
    }
  }
}
