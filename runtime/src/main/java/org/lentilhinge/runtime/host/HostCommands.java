package org.lentilhinge.runtime.host;

import io.reactivex.rxjava3.subjects.CompletableSubject;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.lentilhinge.follow.VersionAsked;
import org.lentilhinge.host.HostCommand;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.runtime.decision.Decision;
import org.lentilhinge.runtime.decision.DecisionKind;
import org.lentilhinge.runtime.decision.DecisionLog;

/** Executes the commands of an entry host. */
final class HostCommands implements Consumer<HostCommand> {

  private final BiConsumer<HostId, PeerMessage> peers;
  private final HostDispatcher dispatcher;
  private final EngineOrderRunner orders;
  private final BookingPartitions partitions;
  private final DecisionLog decisions;
  private final CompletableSubject released = CompletableSubject.create();

  HostCommands(
      BiConsumer<HostId, PeerMessage> peerSender,
      HostDispatcher dispatcher,
      EngineOrderRunner orders,
      BookingPartitions partitions,
      DecisionLog decisions) {
    this.peers = peerSender;
    this.dispatcher = dispatcher;
    this.orders = orders;
    this.partitions = partitions;
    this.decisions = decisions;
  }

  /** Completes when a planned stop has released everything that the host owned. */
  CompletableSubject released() {
    return released;
  }

  @Override
  public void accept(HostCommand command) {
    if (command instanceof HostCommand.Send send) {
      peers.accept(send.to(), send.message());
    } else if (command instanceof HostCommand.Dispatch dispatch) {
      dispatcher.dispatched(dispatch);
    } else if (command instanceof HostCommand.Refuse refuse) {
      dispatcher.refused(refuse);
    } else if (command instanceof HostCommand.OrderLoad load) {
      orders.load(load);
    } else if (command instanceof HostCommand.OrderUnload unload) {
      orders.unload(unload);
    } else if (command instanceof HostCommand.ReadReport read) {
      orders.read(read.endpoint());
    } else {
      notice(command);
    }
  }

  private void notice(HostCommand command) {
    if (command instanceof HostCommand.OwnershipChanged change) {
      ownershipChanged(change);
    } else if (command instanceof HostCommand.MemberChanged change) {
      String state = change.host() + " is " + label(change.state());
      decisions.write(Decision.of(DecisionKind.MEMBERSHIP, state));
    } else if (command instanceof HostCommand.ConfigurationAhead ahead) {
      peers.accept(ahead.peer(), new VersionAsked());
    } else if (command instanceof HostCommand.Released) {
      released.onComplete();
    }
  }

  private void ownershipChanged(HostCommand.OwnershipChanged change) {
    if (BookingPartitions.isPartition(change.endpoint())) {
      partitions.changed(change);
      return;
    }
    String levels = label(change.previous()) + " to " + label(change.current());
    decisions.write(Decision.of(DecisionKind.LEASE, levels).withEndpoint(change.endpoint()));
  }

  private static String label(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
