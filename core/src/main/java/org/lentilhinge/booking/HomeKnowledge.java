package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ServiceId;
import org.lentilhinge.identity.ZoneId;

/**
 * Decides which keys that are not recorded a partition owner may run: the keys that certainly no
 * other host has run.
 */
final class HomeKnowledge {

  private final ZoneId zone;
  private final BookingLimits limits;
  private final HomeAuthority authority;
  private final Map<HostIncarnation, Long> issuerOffsets = new HashMap<>();
  private final Map<BookingPartition, Long> completeMillis = new HashMap<>();
  private final Map<ServiceId, ZoneId> homeZones = new HashMap<>();
  private final Map<ServiceId, Long> movedMillis = new HashMap<>();

  HomeKnowledge(HostIncarnation self, ZoneId zone, BookingLimits limits, HomeAuthority authority) {
    this.zone = zone;
    this.limits = limits;
    this.authority = authority;
    issuerOffsets.put(self, 0L);
  }

  /** Records the services' home zones; no key is certain for a service that has just moved. */
  void configured(Iterable<Service> services, long nowMillis) {
    boolean first = homeZones.isEmpty();
    for (Service service : services) {
      ZoneId previous = homeZones.put(service.id(), service.homeZone());
      if (!first && !service.homeZone().equals(previous)) {
        movedMillis.put(service.id(), nowMillis);
      }
    }
    movedMillis.values().removeIf(moved -> moved + limits.quarantineMillis() <= nowMillis);
  }

  /** Returns the age of a ticket, or empty if this host may not run its issuer's tickets. */
  private OptionalLong ticketAge(BookingTicket ticket, long nowMillis) {
    Long offset = issuerOffsets.get(ticket.issuer());
    if (offset == null) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(nowMillis - offset - ticket.issuedMillis());
  }

  /**
   * Returns whether the table is complete for a partition, so that an ordinary key of the partition
   * that is not recorded has certainly not run.
   */
  boolean isComplete(BookingPartition partition, long nowMillis) {
    OptionalLong since = authority.since(partition);
    if (since.isEmpty() || !authority.mayRun(partition, nowMillis)) {
      return false;
    }
    Long lastCompleteAtMillis = completeMillis.get(partition);
    // An owner in the meantime would itself have run nothing for the length of the quarantine.
    boolean shortInterruption =
        lastCompleteAtMillis != null
            && since.getAsLong() - lastCompleteAtMillis < limits.quarantineMillis();
    boolean quarantineOver = since.getAsLong() + limits.quarantineMillis() <= nowMillis;
    if (shortInterruption || quarantineOver) {
      completeMillis.put(partition, nowMillis);
      return true;
    }
    return false;
  }

  /** Returns whether a key that is not recorded as run has certainly not run. */
  boolean isCertain(Service service, BookingKey key, long nowMillis) {
    Optional<BookingTicket> ticket = BookingTicket.parse(key.value());
    if (ticket.isPresent()) {
      OptionalLong age = ticketAge(ticket.get(), nowMillis);
      return age.isPresent() && age.getAsLong() < limits.ticketMillis();
    }
    BookingPartition partition = BookingPartition.of(service.homeZone(), key);
    return isComplete(partition, nowMillis) && !hasMoved(service.id(), nowMillis);
  }

  /** Returns whether this host owns a key and may therefore report its outcome. */
  boolean isHome(Service service, BookingKey key, long nowMillis) {
    return BookingTicket.parse(key.value())
        .map(ticket -> holds(ticket.issuer()))
        .orElseGet(() -> authority.mayRun(BookingPartition.of(service.homeZone(), key), nowMillis));
  }

  private boolean hasMoved(ServiceId service, long nowMillis) {
    Long moved = movedMillis.get(service);
    return moved != null && moved + limits.quarantineMillis() > nowMillis;
  }

  /**
   * Records the time for each partition that is complete now, so that a later interruption of the
   * ownership that is shorter than the quarantine can be recognized.
   */
  void tick(long nowMillis) {
    for (int number = 0; number < BookingPartition.PARTITIONS; number++) {
      isComplete(new BookingPartition(zone, number), nowMillis);
    }
  }

  /** Lists the partitions to hand over; none while a moved service is recorded. */
  Set<BookingPartition> completePartitions(long nowMillis) {
    Set<BookingPartition> complete = new HashSet<>();
    if (!movedMillis.isEmpty()) {
      return complete;
    }
    tick(nowMillis);
    for (BookingPartition partition : completeMillis.keySet()) {
      if (isComplete(partition, nowMillis)) {
        complete.add(partition);
      }
    }
    return complete;
  }

  List<IssuerTerm> terms(long nowMillis) {
    List<IssuerTerm> terms = new ArrayList<>();
    for (Map.Entry<HostIncarnation, Long> issuer : issuerOffsets.entrySet()) {
      terms.add(new IssuerTerm(issuer.getKey(), nowMillis - issuer.getValue()));
    }
    return terms;
  }

  private boolean holds(HostIncarnation issuer) {
    return issuerOffsets.containsKey(issuer);
  }

  void takeTerms(List<IssuerTerm> terms, long nowMillis) {
    for (IssuerTerm term : terms) {
      issuerOffsets.putIfAbsent(term.issuer(), nowMillis - term.issuerMillis());
    }
  }

  void takePartition(BookingPartition partition, long receivedAtMillis) {
    completeMillis.merge(partition, receivedAtMillis, Math::max);
  }
}
