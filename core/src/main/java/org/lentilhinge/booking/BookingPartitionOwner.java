package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.lentilhinge.attempt.RetryBudget;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.message.PeerMessage;

/**
 * Runs the calls of bookings at most once for each key. It records the keys that it has received.
 * Of the other keys it runs only those that certainly have not run: tickets that this host issued
 * or inherited, and ordinary keys of partitions for which its table is complete.
 */
public final class BookingPartitionOwner {

  private final HostIncarnation self;
  private final BookingLimits limits;
  private final PartitionAuthority authority;
  private final ServiceDirectory services;
  private final BookingTable table;
  private final KeyCoverage coverage;
  private final CallRunner callRunner;
  private final HandOverReceiver handOverReceiver;
  private Optional<HandOver> handOver = Optional.empty();
  private long nextTicketSequence;
  private long nextCoverageUpdateAtMillis = Long.MIN_VALUE;

  /**
   * Creates a partition owner with an empty table.
   *
   * @param self this incarnation of the host
   * @param zone the host's availability zone
   * @param limits the limits
   * @param authority determines which partitions this host owns
   * @param services finds the declared services
   * @param budget limits the retries at services that deduplicate
   * @param attemptIds supplies attempt ids, which are unique across hosts and restarts
   */
  public BookingPartitionOwner(
      HostIncarnation self,
      ZoneId zone,
      BookingLimits limits,
      PartitionAuthority authority,
      ServiceDirectory services,
      RetryBudget budget,
      Supplier<AttemptId> attemptIds) {
    this.self = self;
    this.limits = limits;
    this.authority = authority;
    this.services = services;
    table = new BookingTable(limits);
    coverage = new KeyCoverage(self, zone, limits, authority);
    callRunner = new CallRunner(zone, limits, services, budget, attemptIds, table, coverage);
    handOverReceiver = new HandOverReceiver(table, coverage);
  }

  /**
   * Issues a ticket, whose call only this host or its successor may run.
   *
   * @param nowMillis the monotonic time in milliseconds
   * @return the ticket
   */
  public BookingTicket issueTicket(long nowMillis) {
    return new BookingTicket(self, nowMillis, nextTicketSequence++);
  }

  /**
   * Returns the number of recorded keys.
   *
   * @return the number of keys
   */
  public int size() {
    return table.size();
  }

  /**
   * Returns the number of running calls.
   *
   * @return the number of calls
   */
  public int runningCalls() {
    return table.runningCalls();
  }

  /**
   * Applies a configuration.
   *
   * @param configuration the applied configuration
   * @param nowMillis the monotonic time in milliseconds
   */
  public void applyConfiguration(Configuration configuration, long nowMillis) {
    coverage.applyServices(configuration.services().values(), nowMillis);
  }

  /**
   * Handles a message from another host or from this host's own gateway.
   *
   * @param from the host that sent it
   * @param message the message; messages that are not addressed to a partition owner are ignored
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to execute
   */
  public List<BookingCommand> onMessage(HostId from, PeerMessage message, long nowMillis) {
    List<BookingCommand> commands = new ArrayList<>();
    if (message instanceof BookingForward forward) {
      receiveForward(from, forward, nowMillis, commands);
    } else if (message instanceof BookingHandOver part) {
      receiveHandOver(from, part, nowMillis, commands);
    } else if (message instanceof BookingHandOverAcknowledgement acknowledgement) {
      receiveAcknowledgement(from, acknowledgement, nowMillis, commands);
    } else if (message instanceof BookingHandOverConfirmed confirmed) {
      handOverReceiver.onConfirmed(confirmed);
    }
    return commands;
  }

  private void receiveForward(
      HostId gateway, BookingForward forward, long nowMillis, List<BookingCommand> commands) {
    Optional<Service> service = services.service(forward.key().service());
    if (service.isEmpty()) {
      long retryAfterMillis = limits.callTimeoutMillis();
      reply(
          gateway,
          forward,
          BookingOutcome.temporarilyUnknown(BookingReason.SERVICE_UNDECLARED, retryAfterMillis),
          commands);
      return;
    }
    Optional<TableEntry> entry = table.find(forward.key());
    boolean mayHandle = handOver.isEmpty() || !isFrozen() && entry.isPresent();
    if (!mayHandle || !coverage.isOwner(service.get(), forward.key(), nowMillis)) {
      redirect(gateway, forward, commands);
    } else if (entry.isPresent()) {
      receiveKnownKey(gateway, forward, service.get(), entry.get(), nowMillis, commands);
    } else {
      receiveUnknownKey(gateway, forward, service.get(), nowMillis, commands);
    }
  }

  private void receiveKnownKey(
      HostId gateway,
      BookingForward forward,
      Service service,
      TableEntry entry,
      long nowMillis,
      List<BookingCommand> commands) {
    if (entry.fingerprint() != forward.call().fingerprint()) {
      boolean certainlyNotRun = coverage.hasCertainlyNotRun(service, forward.key(), nowMillis);
      BookingState state = certainlyNotRun ? BookingState.NOT_RUN : BookingState.UNKNOWN;
      reply(gateway, forward, BookingOutcome.mismatch(state), commands);
    } else if (entry.isRunning()) {
      entry.run().waiters().add(new OutcomeWaiter(gateway, forward.request()));
    } else if (mayRunAgain(entry, service, nowMillis)) {
      runAgain(gateway, forward, service, entry, nowMillis, commands);
    } else {
      reply(gateway, forward, entry.outcome(limits.callTimeoutMillis()), commands);
    }
  }

  private boolean mayRunAgain(TableEntry entry, Service service, long nowMillis) {
    if (CallRunner.deduplicates(service)) {
      return entry.state() != BookingState.RAN;
    }
    boolean refused = entry.state() == BookingState.NOT_RUN;
    if (refused && !coverage.hasCertainlyNotRun(service, entry.key(), nowMillis)) {
      // Another owner may have run the key since this host refused it.
      entry.recordUnknown(BookingReason.HOME_LOST);
      return false;
    }
    return refused;
  }

  private void runAgain(
      HostId gateway,
      BookingForward forward,
      Service service,
      TableEntry entry,
      long nowMillis,
      List<BookingCommand> commands) {
    if (entry.refusalCount() != forward.refusalCount()) {
      send(gateway, new BookingChallenge(forward.request(), entry.refusalCount()), commands);
    } else if (handOver.isPresent()) {
      redirect(gateway, forward, commands);
    } else {
      OutcomeWaiter waiter = new OutcomeWaiter(gateway, forward.request());
      callRunner.start(waiter, forward.call(), service, entry, nowMillis, commands);
    }
  }

  private void receiveUnknownKey(
      HostId gateway,
      BookingForward forward,
      Service service,
      long nowMillis,
      List<BookingCommand> commands) {
    if (table.isFull()) {
      long retryAfterMillis = limits.callTimeoutMillis();
      reply(
          gateway,
          forward,
          BookingOutcome.temporarilyUnknown(BookingReason.TABLE_FULL, retryAfterMillis),
          commands);
      return;
    }
    TableEntry entry = table.create(forward.key(), forward.call().fingerprint(), nowMillis);
    Optional<BookingReason> uncertainty = uncertaintyReason(forward, service, nowMillis);
    if (uncertainty.isPresent()) {
      entry.recordUnknown(uncertainty.get());
      reply(gateway, forward, entry.outcome(limits.callTimeoutMillis()), commands);
    } else {
      OutcomeWaiter waiter = new OutcomeWaiter(gateway, forward.request());
      callRunner.start(waiter, forward.call(), service, entry, nowMillis, commands);
    }
  }

  /**
   * Returns why an unrecorded key may nevertheless have run, or empty if it certainly has not run.
   */
  private Optional<BookingReason> uncertaintyReason(
      BookingForward forward, Service service, long nowMillis) {
    if (CallRunner.deduplicates(service)) {
      return Optional.empty();
    }
    boolean isTicket = BookingTicket.parse(forward.key().value()).isPresent();
    if (forward.refusalCount() > 0) {
      return Optional.of(BookingReason.FORGOTTEN);
    }
    if (coverage.hasCertainlyNotRun(service, forward.key(), nowMillis)) {
      return Optional.empty();
    }
    return Optional.of(isTicket ? BookingReason.FORGOTTEN : BookingReason.HOME_LOST);
  }

  /**
   * Returns whether the first byte of a call may be written. This check prevents a call by a
   * process that was suspended after it had received the command and whose rights may have expired
   * in the meantime.
   *
   * @param attempt the attempt
   * @param nowMillis the current monotonic time in milliseconds, read immediately before the call
   * @return whether to write the byte; if not, the attempt has ended as not sent
   */
  public boolean mayStart(AttemptId attempt, long nowMillis) {
    return callRunner.mayStart(attempt, nowMillis);
  }

  /**
   * Handles the end of an attempt. A response that arrives after the attempt was abandoned still
   * determines the state of the key.
   *
   * @param attempt the attempt
   * @param result how the attempt ended
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to execute
   */
  public List<BookingCommand> onAttemptEnded(
      AttemptId attempt, ServiceResult result, long nowMillis) {
    List<BookingCommand> commands = new ArrayList<>();
    callRunner.onAttemptEnded(attempt, result, nowMillis, commands);
    return commands;
  }

  /**
   * Ends overdue calls, evicts expired keys and continues a hand-over.
   *
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to execute
   */
  public List<BookingCommand> tick(long nowMillis) {
    List<BookingCommand> commands = new ArrayList<>();
    callRunner.tick(nowMillis, commands);
    table.evictExpired(nowMillis);
    if (!isFrozen() && nextCoverageUpdateAtMillis <= nowMillis) {
      nextCoverageUpdateAtMillis = nowMillis + limits.resendDelayMillis();
      coverage.tick(nowMillis);
    }
    handOver.ifPresent(activeHandOver -> tickHandOver(activeHandOver, nowMillis, commands));
    return commands;
  }

  private void tickHandOver(
      HandOver activeHandOver, long nowMillis, List<BookingCommand> commands) {
    boolean drained = table.runningCalls() == 0 || activeHandOver.isDrainOver(nowMillis);
    if (!activeHandOver.isFrozen() && drained) {
      activeHandOver.freeze(coverage, table, nowMillis);
      callRunner.stop();
    }
    activeHandOver.addDueMessages(nowMillis, commands);
  }

  private boolean isFrozen() {
    return handOver.filter(HandOver::isFrozen).isPresent();
  }

  /**
   * Begins a planned stop with the same successor for all tickets and partitions.
   *
   * @param successor the host that takes over
   * @param drainMillis the maximum time to wait for running calls, in milliseconds
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to execute
   */
  public List<BookingCommand> startHandOver(HostId successor, long drainMillis, long nowMillis) {
    return startHandOver(successor, partition -> successor, drainMillis, nowMillis);
  }

  /**
   * Begins a planned stop: runs no further keys, and hands over the table when the running calls
   * have ended. Later calls of this method are ignored.
   *
   * @param ticketSuccessor the host that may run this host's tickets after the hand-over
   * @param partitionSuccessors finds the host that will probably be the next owner of a partition
   * @param drainMillis the maximum time to wait for running calls, in milliseconds
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to execute
   */
  public List<BookingCommand> startHandOver(
      HostId ticketSuccessor,
      Function<BookingPartition, HostId> partitionSuccessors,
      long drainMillis,
      long nowMillis) {
    if (handOver.isEmpty()) {
      HandOverSuccessors successors =
          new HandOverSuccessors(ticketSuccessor, partitionSuccessors, services);
      long drainDeadlineAtMillis = nowMillis + drainMillis;
      handOver =
          Optional.of(
              new HandOver(self, successors, drainDeadlineAtMillis, limits.resendDelayMillis()));
    }
    return tick(nowMillis);
  }

  private void receiveHandOver(
      HostId from, BookingHandOver part, long nowMillis, List<BookingCommand> commands) {
    if (isFrozen()) {
      return;
    }
    if (part.successor().isEmpty()) {
      send(from, new BookingHandOverAcknowledgement(part.sender(), self, false), commands);
    } else if (part.successor().get().equals(self) && handOverReceiver.receive(part, nowMillis)) {
      send(from, new BookingHandOverAcknowledgement(part.sender(), self, true), commands);
    }
  }

  private void receiveAcknowledgement(
      HostId from,
      BookingHandOverAcknowledgement message,
      long nowMillis,
      List<BookingCommand> commands) {
    if (message.sender().equals(self)) {
      handOver.ifPresent(
          activeHandOver ->
              activeHandOver.onAcknowledgement(from, message, authority, nowMillis, commands));
    }
  }

  private void redirect(HostId gateway, BookingForward forward, List<BookingCommand> commands) {
    Optional<HostId> successor =
        handOver.map(activeHandOver -> activeHandOver.successorOf(forward.key()));
    send(gateway, new BookingRedirect(forward.request(), successor), commands);
  }

  private static void reply(
      HostId gateway,
      BookingForward forward,
      BookingOutcome outcome,
      List<BookingCommand> commands) {
    send(gateway, new BookingReply(forward.request(), outcome, forward.refusalCount()), commands);
  }

  private static void send(HostId receiver, PeerMessage message, List<BookingCommand> commands) {
    commands.add(new BookingCommand.SendMessage(receiver, message));
  }
}
