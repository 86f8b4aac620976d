package org.lentilhinge.booking;

import java.util.Optional;
import java.util.function.Function;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.identity.HostId;

/** Finds the host that takes over a key or a partition at a planned stop. */
record HandOverSuccessors(
    HostId ticketSuccessor,
    Function<BookingPartition, HostId> partitionSuccessors,
    ServiceDirectory services) {

  HostId successorOf(BookingKey key) {
    Optional<Service> service = services.service(key.service());
    if (service.isEmpty() || BookingTicket.parse(key.value()).isPresent()) {
      return ticketSuccessor;
    }
    return successorOf(BookingPartition.of(service.get().homeZone(), key));
  }

  HostId successorOf(BookingPartition partition) {
    return partitionSuccessors.apply(partition);
  }
}
