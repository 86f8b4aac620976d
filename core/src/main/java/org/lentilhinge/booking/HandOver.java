package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;

/**
 * Executes a planned stop: waits for the running calls, then hands over the table to the
 * successors.
 */
final class HandOver {

  private final HostIncarnation self;
  private final HandOverSuccessors successors;
  private final long drainDeadlineAtMillis;
  private final long resendDelayMillis;
  private final Map<HostId, HandOverSender> senders = new HashMap<>();
  private boolean frozen;

  HandOver(
      HostIncarnation self,
      HandOverSuccessors successors,
      long drainDeadlineAtMillis,
      long resendDelayMillis) {
    this.self = self;
    this.successors = successors;
    this.drainDeadlineAtMillis = drainDeadlineAtMillis;
    this.resendDelayMillis = resendDelayMillis;
  }

  boolean isDrainOver(long nowMillis) {
    return drainDeadlineAtMillis <= nowMillis;
  }

  boolean isFrozen() {
    return frozen;
  }

  HostId successorOf(BookingKey key) {
    return successors.successorOf(key);
  }

  /**
   * Divides the table and the rights among the successors; each right passes to exactly one
   * successor.
   */
  void freeze(KeyCoverage coverage, BookingTable table, long nowMillis) {
    frozen = true;
    Map<HostId, Set<BookingPartition>> partitions = new HashMap<>();
    for (BookingPartition partition : coverage.completePartitions(nowMillis)) {
      HostId successor = successors.successorOf(partition);
      partitions.computeIfAbsent(successor, absent -> new HashSet<>()).add(partition);
    }
    Map<HostId, List<BookingEntry>> entries = new HashMap<>();
    for (BookingEntry entry : table.toBookingEntries(nowMillis)) {
      HostId successor = successors.successorOf(entry.key());
      entries.computeIfAbsent(successor, absent -> new ArrayList<>()).add(entry);
    }
    Set<HostId> receivers = new HashSet<>(partitions.keySet());
    receivers.addAll(entries.keySet());
    receivers.add(successors.ticketSuccessor());
    for (HostId successor : receivers) {
      boolean ticketSuccessor = successor.equals(successors.ticketSuccessor());
      List<TicketDelegation> delegations =
          ticketSuccessor ? coverage.delegations(nowMillis) : List.of();
      Set<BookingPartition> successorPartitions = partitions.getOrDefault(successor, Set.of());
      List<BookingEntry> successorEntries = entries.getOrDefault(successor, List.of());
      senders.put(
          successor,
          new HandOverSender(
              self,
              successor,
              delegations,
              successorPartitions,
              successorEntries,
              resendDelayMillis));
    }
  }

  void addDueMessages(long nowMillis, List<BookingCommand> commands) {
    senders.values().forEach(sender -> commands.addAll(sender.dueMessages(nowMillis)));
  }

  void onAcknowledgement(
      HostId from,
      BookingHandOverAcknowledgement message,
      PartitionAuthority authority,
      long nowMillis,
      List<BookingCommand> commands) {
    HandOverSender sender = senders.get(from);
    if (sender == null) {
      return;
    }
    if (!sender.bind(message.successor()) || !message.complete()) {
      commands.addAll(sender.dueMessages(nowMillis));
      return;
    }
    Set<BookingPartition> stillOwned =
        sender.partitions().stream()
            .filter(partition -> authority.mayRun(partition, nowMillis))
            .collect(Collectors.toSet());
    commands.add(
        new BookingCommand.SendMessage(from, new BookingHandOverConfirmed(self, stillOwned)));
    if (!sender.isAcknowledged()) {
      sender.markAcknowledged();
      if (senders.values().stream().allMatch(HandOverSender::isAcknowledged)) {
        commands.add(new BookingCommand.FinishHandOver());
      }
    }
  }
}
