package org.lentilhinge.booking;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.lentilhinge.attempt.RetryBudget;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.identity.ServiceId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which calls a successor may run after it has received a table. */
public class HandOverTest {

  private static final long RECEIVED_AT_MILLIS = 100_000;
  private static final long OWNED_SINCE_MILLIS = RECEIVED_AT_MILLIS + 300;
  private static final HostIncarnation STOPPING = new HostIncarnation(new HostId("amber"), 1);
  private static final HostIncarnation SUCCESSOR = new HostIncarnation(new HostId("basalt"), 2);
  private static final BookingKey KEY =
      new BookingKey(new ServiceId("orders"), new CallerId("counter"), "K1");
  private static final BookingPartition PARTITION =
      BookingPartition.of(BookingSimulation.ZONE, KEY);

  private final BookingSimulation simulation = new BookingSimulation(new Random(1));
  private BookingPartitionOwner successor;

  @BeforeMethod
  public void start() {
    successor =
        new BookingPartitionOwner(
            SUCCESSOR,
            BookingSimulation.ZONE,
            BookingSimulation.LIMITS,
            new DelayedAuthority(),
            simulation::service,
            new RetryBudget(0, 0),
            () -> new AttemptId(new RequestId(SUCCESSOR, 1), 1));
  }

  private BookingHandOver part(HostIncarnation incarnation, List<TicketDelegation> delegations) {
    return new BookingHandOver(
        STOPPING, Optional.of(incarnation), 0, 1, delegations, Set.of(PARTITION), List.of());
  }

  private List<BookingCommand> receiveHandOver() {
    return successor.onMessage(STOPPING.host(), part(SUCCESSOR, List.of()), RECEIVED_AT_MILLIS);
  }

  private List<BookingCommand> forward() {
    BookingCall call = new BookingCall("POST", "/orders", "", new byte[0]);
    BookingForward forward = new BookingForward(new RequestId(STOPPING, 9), KEY, call, 0);
    return successor.onMessage(STOPPING.host(), forward, OWNED_SINCE_MILLIS + 10);
  }

  @Test
  public void runsUnknownKeyAfterConfirmation() {
    receiveHandOver();
    BookingHandOverConfirmed confirmed = new BookingHandOverConfirmed(STOPPING, Set.of(PARTITION));
    successor.onMessage(STOPPING.host(), confirmed, RECEIVED_AT_MILLIS + 1);
    assertTrue(forward().get(0) instanceof BookingCommand.CallService);
  }

  @Test
  public void doesNotRunUnknownKeyWithoutConfirmation() {
    receiveHandOver();
    BookingOutcome expected = BookingOutcome.unknown(BookingReason.HOME_LOST);
    BookingReply reply = new BookingReply(new RequestId(STOPPING, 9), expected, 0);
    assertEquals(forward(), List.of(new BookingCommand.SendMessage(STOPPING.host(), reply)));
  }

  @Test
  public void ignoresHandOverToAnotherIncarnation() {
    HostIncarnation previous = new HostIncarnation(SUCCESSOR.host(), 1);
    BookingHandOver late = part(previous, List.of(new TicketDelegation(STOPPING, 0)));
    assertEquals(successor.onMessage(STOPPING.host(), late, RECEIVED_AT_MILLIS), List.of());
  }

  /** Owns every partition since {@link #OWNED_SINCE_MILLIS}. */
  private static final class DelayedAuthority implements PartitionAuthority {

    @Override
    public boolean mayRun(BookingPartition partition, long nowMillis) {
      return nowMillis >= OWNED_SINCE_MILLIS;
    }

    @Override
    public OptionalLong ownedSinceMillis(BookingPartition partition) {
      return OptionalLong.of(OWNED_SINCE_MILLIS);
    }
  }
}
