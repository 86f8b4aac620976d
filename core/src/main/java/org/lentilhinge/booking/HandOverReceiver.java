package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.HostIncarnation;

/** Collects the parts of the tables that stopping hosts hand over to this host. */
final class HandOverReceiver {

  private final BookingTable table;
  private final KeyCoverage coverage;
  private final Map<HostIncarnation, Map<Integer, BookingHandOver>> partsBySender = new HashMap<>();
  private final Map<HostIncarnation, ReceivedTable> receivedTables = new HashMap<>();

  HandOverReceiver(BookingTable table, KeyCoverage coverage) {
    this.table = table;
    this.coverage = coverage;
  }

  /** Records a part and returns whether the complete table has been received. */
  boolean receive(BookingHandOver part, long nowMillis) {
    if (receivedTables.containsKey(part.sender())) {
      return true;
    }
    Map<Integer, BookingHandOver> parts =
        partsBySender.computeIfAbsent(part.sender(), absent -> new HashMap<>());
    parts.put(part.partIndex(), part);
    if (parts.size() < part.partCount()) {
      return false;
    }
    partsBySender.remove(part.sender());
    List<BookingHandOver> complete = new ArrayList<>(parts.values());
    complete.forEach(
        received -> received.entries().forEach(entry -> table.merge(entry, nowMillis)));
    coverage.addDelegations(part.delegations(), nowMillis);
    receivedTables.put(part.sender(), new ReceivedTable(nowMillis, part.partitions()));
    return true;
  }

  /** Takes over the partitions that the sender still owned after the table had been received. */
  void onConfirmed(BookingHandOverConfirmed message) {
    Optional<ReceivedTable> receivedTable =
        Optional.ofNullable(receivedTables.get(message.sender()));
    receivedTable.ifPresent(
        received ->
            message.partitions().stream()
                .filter(received.partitions()::contains)
                .forEach(
                    partition ->
                        coverage.addCompletePartition(partition, received.receivedAtMillis())));
  }

  private record ReceivedTable(long receivedAtMillis, Set<BookingPartition> partitions) {}
}
