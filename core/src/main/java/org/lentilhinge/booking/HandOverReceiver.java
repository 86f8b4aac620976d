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

  private final HomeTable table;
  private final HomeKnowledge knowledge;
  private final Map<HostIncarnation, Map<Integer, BookingHandOver>> collected = new HashMap<>();
  private final Map<HostIncarnation, Taken> taken = new HashMap<>();

  HandOverReceiver(HomeTable table, HomeKnowledge knowledge) {
    this.table = table;
    this.knowledge = knowledge;
  }

  /** Records a part and returns whether the complete table has been received. */
  boolean receive(BookingHandOver part, long nowMillis) {
    if (taken.containsKey(part.sender())) {
      return true;
    }
    Map<Integer, BookingHandOver> parts =
        collected.computeIfAbsent(part.sender(), sender -> new HashMap<>());
    parts.put(part.part(), part);
    if (parts.size() < part.parts()) {
      return false;
    }
    collected.remove(part.sender());
    List<BookingHandOver> complete = new ArrayList<>(parts.values());
    complete.forEach(each -> each.entries().forEach(entry -> table.merge(entry, nowMillis)));
    knowledge.takeTerms(part.terms(), nowMillis);
    taken.put(part.sender(), new Taken(nowMillis, part.partitions()));
    return true;
  }

  /** Takes over the partitions that the sender still owned after the table had been received. */
  void confirmed(BookingHandOverConfirmed message) {
    Optional<Taken> match = Optional.ofNullable(taken.get(message.sender()));
    match.ifPresent(
        received ->
            message.partitions().stream()
                .filter(received.partitions()::contains)
                .forEach(partition -> knowledge.takePartition(partition, received.takenMillis())));
  }

  private record Taken(long takenMillis, Set<BookingPartition> partitions) {}
}
