package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;

/**
 * Sends a stopping host's table to one incarnation of its successor until the successor
 * acknowledges it.
 */
final class HandOverSender {

  private static final int MAXIMUM_ENTRIES_PER_PART = 200;
  private static final int MAXIMUM_BODY_BYTES_PER_PART = 200_000;

  private final HostId successor;
  private final BookingHandOver incarnationQuery;
  private final List<List<BookingEntry>> parts;
  private final long resendDelayMillis;
  private Optional<HostIncarnation> boundSuccessor = Optional.empty();
  private long nextSendAtMillis = Long.MIN_VALUE;
  private boolean acknowledged;

  HandOverSender(
      HostIncarnation self,
      HostId successor,
      List<TicketDelegation> delegations,
      Set<BookingPartition> partitions,
      List<BookingEntry> entries,
      long resendDelayMillis) {
    this.successor = successor;
    this.resendDelayMillis = resendDelayMillis;
    parts = split(entries);
    incarnationQuery =
        new BookingHandOver(self, Optional.empty(), 0, 0, delegations, partitions, List.of());
  }

  private static List<List<BookingEntry>> split(List<BookingEntry> entries) {
    List<List<BookingEntry>> split = new ArrayList<>();
    List<BookingEntry> current = new ArrayList<>();
    int bytes = 0;
    for (BookingEntry entry : entries) {
      int size = entry.response().map(response -> response.body().length).orElse(0);
      if (current.size() >= MAXIMUM_ENTRIES_PER_PART
          || !current.isEmpty() && bytes + size > MAXIMUM_BODY_BYTES_PER_PART) {
        split.add(current);
        current = new ArrayList<>();
        bytes = 0;
      }
      current.add(entry);
      bytes += size;
    }
    split.add(current);
    return split;
  }

  Set<BookingPartition> partitions() {
    return incarnationQuery.partitions();
  }

  /**
   * Binds the hand-over to the first incarnation of the successor that replies, and returns whether
   * it is bound to the given incarnation. A later incarnation would not know which calls the first
   * incarnation ran.
   */
  boolean bind(HostIncarnation incarnation) {
    if (boundSuccessor.isEmpty() && incarnation.host().equals(successor)) {
      boundSuccessor = Optional.of(incarnation);
      nextSendAtMillis = Long.MIN_VALUE;
    }
    return boundSuccessor.filter(incarnation::equals).isPresent();
  }

  boolean isAcknowledged() {
    return acknowledged;
  }

  void markAcknowledged() {
    acknowledged = true;
  }

  List<BookingCommand> dueMessages(long nowMillis) {
    List<BookingCommand> commands = new ArrayList<>();
    if (acknowledged || nowMillis < nextSendAtMillis) {
      return commands;
    }
    nextSendAtMillis = nowMillis + resendDelayMillis;
    if (boundSuccessor.isEmpty()) {
      commands.add(new BookingCommand.SendMessage(successor, incarnationQuery));
      return commands;
    }
    for (int index = 0; index < parts.size(); index++) {
      commands.add(new BookingCommand.SendMessage(successor, partMessage(index)));
    }
    return commands;
  }

  private BookingHandOver partMessage(int index) {
    return new BookingHandOver(
        incarnationQuery.sender(),
        boundSuccessor,
        index,
        parts.size(),
        incarnationQuery.delegations(),
        incarnationQuery.partitions(),
        parts.get(index));
  }
}
