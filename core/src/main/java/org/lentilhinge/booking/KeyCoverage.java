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
 * Decides which unrecorded keys a partition owner may run: those that certainly no other host has
 * run.
 */
final class KeyCoverage {

  private final ZoneId zone;
  private final BookingLimits limits;
  private final PartitionAuthority authority;
  private final Map<HostIncarnation, Long> issuerOffsetsMillis = new HashMap<>();
  private final Map<BookingPartition, Long> completeAtMillis = new HashMap<>();
  private final Map<ServiceId, ZoneId> homeZones = new HashMap<>();
  private final Map<ServiceId, Long> movedAtMillis = new HashMap<>();

  KeyCoverage(
      HostIncarnation self, ZoneId zone, BookingLimits limits, PartitionAuthority authority) {
    this.zone = zone;
    this.limits = limits;
    this.authority = authority;
    issuerOffsetsMillis.put(self, 0L);
  }

  /**
   * Records the services' home zones. After a service has moved, its unrecorded ordinary keys count
   * as possibly run until the quarantine has passed.
   */
  void applyServices(Iterable<Service> services, long nowMillis) {
    boolean first = homeZones.isEmpty();
    for (Service service : services) {
      ZoneId previous = homeZones.put(service.id(), service.homeZone());
      if (!first && !service.homeZone().equals(previous)) {
        movedAtMillis.put(service.id(), nowMillis);
      }
    }
    movedAtMillis.values().removeIf(movedAt -> movedAt + limits.quarantineMillis() <= nowMillis);
  }

  /** Returns the age of a ticket, or empty if this host may not run its issuer's tickets. */
  private OptionalLong ticketAgeMillis(BookingTicket ticket, long nowMillis) {
    Long offsetMillis = issuerOffsetsMillis.get(ticket.issuer());
    if (offsetMillis == null) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(nowMillis - offsetMillis - ticket.issuedAtMillis());
  }

  /**
   * Returns whether the table is complete for a partition, so that an ordinary key of the partition
   * that is not recorded has certainly not run.
   */
  boolean isComplete(BookingPartition partition, long nowMillis) {
    OptionalLong ownedSince = authority.ownedSinceMillis(partition);
    if (ownedSince.isEmpty() || !authority.mayRun(partition, nowMillis)) {
      return false;
    }
    Long lastCompleteAtMillis = completeAtMillis.get(partition);
    // A host that owned the partition in the meantime ran no ordinary keys, because its own
    // quarantine had not passed.
    boolean shortInterruption =
        lastCompleteAtMillis != null
            && ownedSince.getAsLong() - lastCompleteAtMillis < limits.quarantineMillis();
    boolean quarantineOver = ownedSince.getAsLong() + limits.quarantineMillis() <= nowMillis;
    if (shortInterruption || quarantineOver) {
      completeAtMillis.put(partition, nowMillis);
      return true;
    }
    return false;
  }

  /** Returns whether a key that is not recorded as run has certainly not run. */
  boolean hasCertainlyNotRun(Service service, BookingKey key, long nowMillis) {
    Optional<BookingTicket> ticket = BookingTicket.parse(key.value());
    if (ticket.isPresent()) {
      OptionalLong ageMillis = ticketAgeMillis(ticket.get(), nowMillis);
      return ageMillis.isPresent() && ageMillis.getAsLong() < limits.ticketLifetimeMillis();
    }
    BookingPartition partition = BookingPartition.of(service.homeZone(), key);
    return isComplete(partition, nowMillis) && !hasMoved(service.id(), nowMillis);
  }

  /** Returns whether this host owns a key and may therefore report its outcome. */
  boolean isOwner(Service service, BookingKey key, long nowMillis) {
    return BookingTicket.parse(key.value())
        .map(ticket -> hasDelegation(ticket.issuer()))
        .orElseGet(() -> authority.mayRun(BookingPartition.of(service.homeZone(), key), nowMillis));
  }

  private boolean hasMoved(ServiceId service, long nowMillis) {
    Long movedAt = movedAtMillis.get(service);
    return movedAt != null && movedAt + limits.quarantineMillis() > nowMillis;
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

  /**
   * Lists the partitions to hand over; none while the move of a service is recorded, because keys
   * of that service may have run in its former zone.
   */
  Set<BookingPartition> completePartitions(long nowMillis) {
    Set<BookingPartition> complete = new HashSet<>();
    if (!movedAtMillis.isEmpty()) {
      return complete;
    }
    tick(nowMillis);
    for (BookingPartition partition : completeAtMillis.keySet()) {
      if (isComplete(partition, nowMillis)) {
        complete.add(partition);
      }
    }
    return complete;
  }

  List<TicketDelegation> delegations(long nowMillis) {
    List<TicketDelegation> delegations = new ArrayList<>();
    for (Map.Entry<HostIncarnation, Long> issuer : issuerOffsetsMillis.entrySet()) {
      delegations.add(new TicketDelegation(issuer.getKey(), nowMillis - issuer.getValue()));
    }
    return delegations;
  }

  private boolean hasDelegation(HostIncarnation issuer) {
    return issuerOffsetsMillis.containsKey(issuer);
  }

  void addDelegations(List<TicketDelegation> delegations, long nowMillis) {
    for (TicketDelegation delegation : delegations) {
      issuerOffsetsMillis.putIfAbsent(
          delegation.issuer(), nowMillis - delegation.issuerClockMillis());
    }
  }

  void addCompletePartition(BookingPartition partition, long receivedAtMillis) {
    completeAtMillis.merge(partition, receivedAtMillis, Math::max);
  }
}
