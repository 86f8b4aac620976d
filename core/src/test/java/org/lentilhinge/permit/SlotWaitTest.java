package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests that requests for adapters without a slot are not refused forever. */
public class SlotWaitTest {

  private static final long MAXIMUM_WAIT_MILLIS = 335;
  private static final int RUN = 8;

  private final AdapterSlots slots = new AdapterSlots(1);
  private final RequestQueue queue = new RequestQueue();
  private final PromptBacklog backlog = new PromptBacklog(20);
  private final QueueAdmission admission =
      new QueueAdmission(
          new SchedulerSettings(64, 100_000, 1, 1, 120),
          slots,
          backlog,
          queue,
          new RunningRequests());
  private long lastPermitId;

  /** Creates an engine whose only slot is in use, and whose slots took a second to be freed. */
  private static SlotWaitTest afterLongWaits() {
    SlotWaitTest test = new SlotWaitTest();
    AdapterSlot slot = test.slots.put("resident", 0, AdapterSlot.State.RESIDENT, 0);
    slot.runningRequests = 1;
    for (int count = 0; count < 50; count++) {
      test.admission.recordPermit(new QueueEntry("h", test.request("y", true), 0, 0), 1_000);
    }
    return test;
  }

  private PermitRequest request(String adapter, boolean stated) {
    return request(adapter, stated ? "customer" : "", 4);
  }

  private PermitRequest request(String adapter, String customer, double use) {
    lastPermitId++;
    Optional<CustomerStanding> standing =
        customer.isEmpty()
            ? Optional.empty()
            : Optional.of(new CustomerStanding(customer, 0, use, 0));
    return new PermitRequest(
        lastPermitId,
        "r",
        "e",
        "m",
        adapter,
        0,
        1_000,
        40,
        0,
        1_005,
        6_000,
        Optional.empty(),
        Optional.of(new PermitTerms(standing, MAXIMUM_WAIT_MILLIS, false)));
  }

  private static List<String> reasons(List<EngineCommand> commands) {
    return commands.stream()
        .map(command -> ((EngineCommand.Answer) command).answer().reason())
        .toList();
  }

  // All requests without a slot were refused, and nothing corrected the estimate of the wait.
  @Test
  public void firstAdapterWithoutSlotWaitsWhateverTheEstimate() {
    for (boolean stated : List.of(false, true)) {
      SlotWaitTest test = afterLongWaits();
      assertEquals(reasons(test.admission.admit("h", test.request("x", stated), 0)), List.of());
      assertEquals(
          reasons(test.admission.admit("h", test.request("z", stated), 1)), List.of("no-room"));
      assertEquals(test.queue.adapters(), Set.of("x"));
    }
  }

  // A request that was due after eight refusals lost its turn if it was refused as well.
  @Test
  public void requestRefusedAtArrivalKeepsItsRun() {
    SlotWaitTest test = new SlotWaitTest();
    for (int count = 0; count < RUN; count++) {
      QueueEntry entry = new QueueEntry("h", test.request("", true), 0, QueueEntry.NO_SLOT);
      test.admission.refuse(entry, "no-room", 0);
    }
    test.backlog.add(20_000, 0);
    PermitRequest refused = test.request("", true);
    assertEquals(reasons(test.admission.admit("h", refused, 0)), List.of("no-room"));
    PermitRequest due = test.request("", true);
    PermitRequest other = test.request("", "other", 0);
    assertEquals(test.admission.admit("h", due, 1_000), List.of());
    assertEquals(test.admission.admit("h", other, 1_000), List.of());
    assertEquals(test.queue.byUrgency(1_000).get(0).request(), due);
  }
}
