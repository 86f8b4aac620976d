package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;

/** Sends a stopping host's table to one incarnation of its successor until it is acknowledged. */
final class HandOverSender {

  private static final int ENTRIES_PER_PART = 200;
  private static final int BYTES_PER_PART = 200_000;

  private final HostId successor;
  private final BookingHandOver question;
  private final List<List<BookingEntry>> pieces;
  private final long resendMillis;
  private Optional<HostIncarnation> bound = Optional.empty();
  private long nextSendMillis = Long.MIN_VALUE;
  private boolean taken;

  HandOverSender(
      HostIncarnation self,
      HostId successor,
      List<IssuerTerm> terms,
      Set<BookingPartition> partitions,
      List<BookingEntry> entries,
      long resendDelayMillis) {
    this.successor = successor;
    this.resendMillis = resendDelayMillis;
    pieces = split(entries);
    question = new BookingHandOver(self, Optional.empty(), 0, 0, terms, partitions, List.of());
  }

  private static List<List<BookingEntry>> split(List<BookingEntry> entries) {
    List<List<BookingEntry>> split = new ArrayList<>();
    List<BookingEntry> current = new ArrayList<>();
    int bytes = 0;
    for (BookingEntry entry : entries) {
      int size = entry.answer().map(response -> response.body().length).orElse(0);
      if (current.size() >= ENTRIES_PER_PART
          || !current.isEmpty() && bytes + size > BYTES_PER_PART) {
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
    return question.partitions();
  }

  /**
   * Binds the hand-over to the first incarnation of the successor that replies, and returns whether
   * it is bound to the given incarnation. A later incarnation would not know which calls the first
   * incarnation ran.
   */
  boolean bind(HostIncarnation incarnation) {
    if (bound.isEmpty() && incarnation.host().equals(successor)) {
      bound = Optional.of(incarnation);
      nextSendMillis = Long.MIN_VALUE;
    }
    return bound.filter(incarnation::equals).isPresent();
  }

  boolean isTaken() {
    return taken;
  }

  void markTaken() {
    taken = true;
  }

  List<BookingCommand> due(long nowMillis) {
    List<BookingCommand> commands = new ArrayList<>();
    if (taken || nowMillis < nextSendMillis) {
      return commands;
    }
    nextSendMillis = nowMillis + resendMillis;
    if (bound.isEmpty()) {
      commands.add(new BookingCommand.SendMessage(successor, question));
      return commands;
    }
    for (int part = 0; part < pieces.size(); part++) {
      commands.add(new BookingCommand.SendMessage(successor, message(part)));
    }
    return commands;
  }

  private BookingHandOver message(int part) {
    return new BookingHandOver(
        question.sender(),
        bound,
        part,
        pieces.size(),
        question.terms(),
        question.partitions(),
        pieces.get(part));
  }
}
