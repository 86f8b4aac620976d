package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests for how long, and after which refusals, memory is reserved for large requests. */
public class MemoryReservationTest {

  private static final int MEMORY_TOKENS = 100_000;
  private static final long REMAINING_MILLIS = 6_000;
  private static final int RUN = 8;

  private static PermitRequest request(String adapter, int tokens) {
    CustomerStanding standing = new CustomerStanding("c", 0, 1, 0);
    return new PermitRequest(
        1,
        "r",
        "e",
        "m",
        adapter,
        0,
        tokens / 2,
        tokens - tokens / 2,
        0,
        1_000,
        REMAINING_MILLIS,
        Optional.empty(),
        Optional.of(new PermitTerms(Optional.of(standing), 0, false)));
  }

  // One refusal of a medium request renewed an expired reservation of the size of a large one.
  @Test
  public void expiredReservationIsNotRenewedByMediumRequest() {
    MemoryReservation reservation = new MemoryReservation(MEMORY_TOKENS);
    for (int count = 0; count < RUN; count++) {
      reservation.recordRefusal(request("", 80_000), 0);
    }
    assertEquals(reservation.tokensToLeave(request("", 1_000), 1), 80_000);
    reservation.recordRefusal(request("", 20_000), REMAINING_MILLIS + 1);
    assertEquals(reservation.tokensToLeave(request("", 1_000), REMAINING_MILLIS + 1), 0);
  }

  // Refusals of smaller requests kept memory free for one whose caller had given up.
  @Test
  public void reservationIsNotExtendedBySmallerRequest() {
    MemoryReservation reservation = new MemoryReservation(MEMORY_TOKENS);
    for (int count = 0; count < RUN; count++) {
      reservation.recordRefusal(request("", 80_000), 0);
    }
    reservation.recordRefusal(request("", 20_000), REMAINING_MILLIS - 1);
    assertEquals(reservation.tokensToLeave(request("", 1_000), REMAINING_MILLIS - 1), 80_000);
    assertEquals(reservation.tokensToLeave(request("", 1_000), REMAINING_MILLIS), 0);
  }

  // Memory was kept free for requests that lacked an adapter slot and could not use it.
  @Test
  public void refusalsForWantOfAnAdapterSlotReserveNothing() {
    assertEquals(tokensToLeaveAfterRefusals(Map.of()), 0);
    assertEquals(tokensToLeaveAfterRefusals(Map.of("a", AdapterSlot.State.LOADING)), 0);
    assertEquals(tokensToLeaveAfterRefusals(Map.of("a", AdapterSlot.State.RESIDENT)), 80_000);
  }

  private static int tokensToLeaveAfterRefusals(Map<String, AdapterSlot.State> adapters) {
    AdapterSlots slots = new AdapterSlots(1);
    adapters.forEach((name, state) -> slots.put(name, 0, state, 0));
    QueueAdmission admission =
        new QueueAdmission(
            new SchedulerSettings(64, MEMORY_TOKENS, 1, 1, 120),
            slots,
            new PromptBacklog(20),
            new RequestQueue(),
            new RunningRequests());
    for (int count = 0; count < RUN; count++) {
      QueueEntry entry = new QueueEntry("h", request("a", 80_000), 0, QueueEntry.NO_SLOT);
      admission.refuse(entry, "no-room", 0);
    }
    return admission.tokensToLeave(request("", 1_000), 1);
  }
}
