package org.lentilhinge.runtime.host;

import io.reactivex.rxjava3.subjects.CompletableSubject;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.lentilhinge.follow.VersionRequest;
import org.lentilhinge.host.HostCommand;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.runtime.decision.Decision;
import org.lentilhinge.runtime.decision.DecisionKind;
import org.lentilhinge.runtime.decision.DecisionLog;

/** Executes the commands that the state machine of an entry host returns. */
final class HostCommandExecutor implements Consumer<HostCommand> {

  private final BiConsumer<HostId, PeerMessage> peerSender;
  private final HostDispatcher dispatcher;
  private final EngineOrderRunner orders;
  private final BookingPartitionLeases partitions;
  private final DecisionLog decisions;
  private final CompletableSubject released = CompletableSubject.create();

  HostCommandExecutor(
      BiConsumer<HostId, PeerMessage> peerSender,
      HostDispatcher dispatcher,
      EngineOrderRunner orders,
      BookingPartitionLeases partitions,
      DecisionLog decisions) {
    this.peerSender = peerSender;
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
      peerSender.accept(send.to(), send.message());
    } else if (command instanceof HostCommand.Dispatch dispatch) {
      dispatcher.onDispatched(dispatch);
    } else if (command instanceof HostCommand.Refuse refuse) {
      dispatcher.onRefused(refuse);
    } else if (command instanceof HostCommand.OrderLoad load) {
      orders.load(load);
    } else if (command instanceof HostCommand.OrderUnload unload) {
      orders.unload(unload);
    } else if (command instanceof HostCommand.ReadReport read) {
      orders.requestReport(read.endpoint());
    } else {
      executeNotification(command);
    }
  }

  private void executeNotification(HostCommand command) {
    if (command instanceof HostCommand.OwnershipChanged change) {
      onOwnershipChanged(change);
    } else if (command instanceof HostCommand.MemberChanged change) {
      String state = change.host() + " is " + label(change.state());
      decisions.write(Decision.of(DecisionKind.MEMBERSHIP, state));
    } else if (command instanceof HostCommand.ConfigurationAhead ahead) {
      peerSender.accept(ahead.peer(), new VersionRequest());
    } else if (command instanceof HostCommand.Released) {
      released.onComplete();
    }
  }

  private void onOwnershipChanged(HostCommand.OwnershipChanged change) {
    if (BookingPartitionLeases.isPartition(change.endpoint())) {
      partitions.onOwnershipChanged(change);
      return;
    }
    String levels = label(change.previous()) + " to " + label(change.current());
    decisions.write(Decision.of(DecisionKind.LEASE, levels).withEndpoint(change.endpoint()));
  }

  private static String label(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
