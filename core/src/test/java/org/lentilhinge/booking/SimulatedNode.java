package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.attempt.RetryBudget;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.message.PeerMessage;

/** One incarnation of an entry host: a partition owner and a gateway with their own clock. */
final class SimulatedNode implements PartitionAuthority, PartitionDirectory {

  private final BookingSimulation simulation;
  private final HostIncarnation incarnation;
  private final long clockOffsetMillis;
  private final BookingPartitionOwner partitionOwner;
  private final BookingGateway gateway;
  private final List<Runnable> deferredActions = new ArrayList<>();
  private boolean paused;
  private boolean crashed;
  private long sequence;

  SimulatedNode(BookingSimulation simulation, HostIncarnation incarnation, long clockOffsetMillis) {
    this.simulation = simulation;
    this.incarnation = incarnation;
    this.clockOffsetMillis = clockOffsetMillis;
    partitionOwner =
        new BookingPartitionOwner(
            incarnation,
            BookingSimulation.ZONE,
            BookingSimulation.LIMITS,
            this,
            simulation::service,
            new RetryBudget(0.1, 10),
            () -> new AttemptId(nextRequest(), 1));
    gateway = new BookingGateway(BookingSimulation.LIMITS, simulation::service, this);
  }

  HostId host() {
    return incarnation.host();
  }

  HostIncarnation incarnation() {
    return incarnation;
  }

  boolean isCrashed() {
    return crashed;
  }

  boolean isPaused() {
    return paused;
  }

  int pendingCount() {
    return gateway.pendingCount();
  }

  long now() {
    return simulation.now() + clockOffsetMillis;
  }

  RequestId nextRequest() {
    return new RequestId(incarnation, sequence++);
  }

  String issueTicket() {
    return partitionOwner.issueTicket(now()).toString();
  }

  void book(RequestId request, BookingKey key, BookingCall call) {
    perform(() -> execute(gateway.book(request, key, call, now())));
  }

  void receive(HostId from, PeerMessage message) {
    perform(
        () -> {
          execute(partitionOwner.onMessage(from, message, now()));
          execute(gateway.onMessage(from, message, now()));
        });
  }

  void onAttemptEnded(AttemptId attempt, ServiceResult result) {
    perform(() -> execute(partitionOwner.onAttemptEnded(attempt, result, now())));
  }

  void startHandOver(HostId successor) {
    perform(
        () ->
            execute(
                partitionOwner.startHandOver(
                    successor, partition -> simulation.nextOwner(partition, host()), 500, now())));
  }

  void tick() {
    if (!paused && !crashed) {
      execute(partitionOwner.tick(now()));
      execute(gateway.tick(now()));
    }
  }

  /** Runs an action now, on resumption if the host is paused, or never if the host has crashed. */
  void perform(Runnable action) {
    if (crashed) {
      return;
    }
    if (paused) {
      deferredActions.add(action);
    } else {
      action.run();
    }
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    List<Runnable> actions = List.copyOf(deferredActions);
    deferredActions.clear();
    actions.forEach(Runnable::run);
  }

  void crash() {
    crashed = true;
  }

  boolean mayStart(AttemptId attempt) {
    return partitionOwner.mayStart(attempt, now());
  }

  private void execute(List<BookingCommand> commands) {
    for (BookingCommand command : commands) {
      if (command instanceof BookingCommand.SendMessage send) {
        simulation.send(host(), send.receiver(), send.message());
      } else if (command instanceof BookingCommand.CallService call) {
        simulation.callService(this, call);
      } else if (command instanceof BookingCommand.CompleteCall completion) {
        simulation.onOutcome(completion.request(), completion.outcome());
      } else if (command instanceof BookingCommand.FinishHandOver) {
        simulation.onHandOverFinished(this);
      }
    }
  }

  @Override
  public boolean mayRun(BookingPartition partition, long nowMillis) {
    return simulation.leases().isOwner(host(), partition, nowMillis - clockOffsetMillis);
  }

  @Override
  public OptionalLong ownedSinceMillis(BookingPartition partition) {
    Optional<Long> grantedAtMillis = simulation.leases().grantedAtMillis(host(), partition);
    return grantedAtMillis.isPresent()
        ? OptionalLong.of(grantedAtMillis.get() + clockOffsetMillis)
        : OptionalLong.empty();
  }

  @Override
  public Optional<HostId> findOwner(BookingPartition partition) {
    return simulation.findOwner(partition);
  }

  @Override
  public List<HostId> tableHosts(HostId issuer) {
    List<HostId> hosts = new ArrayList<>();
    hosts.add(issuer);
    BookingSimulation.HOSTS.stream().filter(host -> !host.equals(issuer)).forEach(hosts::add);
    return hosts;
  }
}
