package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.allowance.AllowanceReport;
import org.lentilhinge.overlay.OverlayCommand;
import org.lentilhinge.permit.EngineStatus;
import org.lentilhinge.permit.EngineStatuses;
import org.lentilhinge.permit.OrderCount;
import org.lentilhinge.permit.OwnerStatuses;
import org.lentilhinge.permit.StatusRelay;

/** Sends the statuses of this host's engines to all hosts, and passes on those of other hosts. */
final class StatusExchange {

  private final HostContext context;
  private final HostState state;
  private final StatusRelay relay;
  private final PeerSender peers;

  StatusExchange(HostContext context, HostState state, StatusRelay relay, PeerSender peers) {
    this.context = context;
    this.state = state;
    this.relay = relay;
    this.peers = peers;
  }

  /** Records statuses of this host's engines and sends those that other hosts do not know yet. */
  void publish(List<EngineStatus> statuses, List<OrderCount> counts) {
    publish(statuses, counts, Optional.empty());
  }

  /** Publishes as at each interval, together with what customers use. */
  void publishAll(List<EngineStatus> statuses, List<OrderCount> counts) {
    publish(statuses, counts, state.quotas().report());
  }

  private void publish(
      List<EngineStatus> statuses, List<OrderCount> counts, Optional<AllowanceReport> use) {
    long now = context.now();
    statuses.forEach(status -> state.engineSelector().updateStatus(context.host(), status, now));
    send(
        relay.publish(
            statuses, counts, use, state.hosts().liveHosts(), state.hosts()::isConnected, now));
  }

  /** Sends the status of an engine that this host owns to a host that claims it as well. */
  void sendTo(String host, EngineStatus status) {
    OwnerStatuses own = new OwnerStatuses(context.host(), List.of(status), List.of());
    peers.send(host, new EngineStatuses(List.of(own), false));
  }

  /** Collects statuses that this host has to pass on. */
  void receive(EngineStatuses statuses) {
    relay.receive(statuses);
  }

  /** Passes on the collected statuses. */
  void flush() {
    send(relay.flush(state.hosts().liveHosts()));
  }

  private void send(List<OverlayCommand.Send> messages) {
    messages.forEach(message -> peers.send(message.host(), message.message()));
  }
}
