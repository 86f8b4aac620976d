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

  private static final long TAKEN_MILLIS = 100_000;
  private static final long SINCE_MILLIS = TAKEN_MILLIS + 300;
  private static final HostIncarnation STOPPING = new HostIncarnation(new HostId("amber"), 1);
  private static final HostIncarnation HEIR = new HostIncarnation(new HostId("basalt"), 2);
  private static final BookingKey KEY =
      new BookingKey(new ServiceId("orders"), new CallerId("counter"), "K1");
  private static final BookingPartition PARTITION = BookingPartition.of(BookingWorld.ZONE, KEY);

  private final BookingWorld world = new BookingWorld(new Random(1));
  private BookingHome successor;

  @BeforeMethod
  public void start() {
    successor =
        new BookingHome(
            HEIR,
            BookingWorld.ZONE,
            BookingWorld.LIMITS,
            new HomeSince(),
            world::service,
            new RetryBudget(0, 0),
            () -> new AttemptId(new RequestId(HEIR, 1), 1));
  }

  private BookingHandOver part(HostIncarnation incarnation, List<IssuerTerm> terms) {
    return new BookingHandOver(
        STOPPING, Optional.of(incarnation), 0, 1, terms, Set.of(PARTITION), List.of());
  }

  private List<BookingCommand> take() {
    return successor.receive(STOPPING.host(), part(HEIR, List.of()), TAKEN_MILLIS);
  }

  private List<BookingCommand> forward() {
    BookingCall call = new BookingCall("POST", "/orders", "", new byte[0]);
    BookingForward forward = new BookingForward(new RequestId(STOPPING, 9), KEY, call, 0);
    return successor.receive(STOPPING.host(), forward, SINCE_MILLIS + 10);
  }

  @Test
  public void runsUnseenKeysOnceTheHandOverIsConfirmed() {
    take();
    BookingHandOverConfirmed confirmed = new BookingHandOverConfirmed(STOPPING, Set.of(PARTITION));
    successor.receive(STOPPING.host(), confirmed, TAKEN_MILLIS + 1);
    assertTrue(forward().get(0) instanceof BookingCommand.CallService);
  }

  @Test
  public void runsNoUnseenKeyWithoutTheConfirmation() {
    take();
    BookingOutcome expected = BookingOutcome.unknown(BookingReason.HOME_LOST);
    BookingReply reply = new BookingReply(new RequestId(STOPPING, 9), expected, 0);
    assertEquals(forward(), List.of(new BookingCommand.SendMessage(STOPPING.host(), reply)));
  }

  @Test
  public void takesNothingThatWasMeantForAnotherLife() {
    HostIncarnation previous = new HostIncarnation(HEIR.host(), 1);
    BookingHandOver late = part(previous, List.of(new IssuerTerm(STOPPING, 0)));
    assertEquals(successor.receive(STOPPING.host(), late, TAKEN_MILLIS), List.of());
  }

  /** Owns every partition since {@link #SINCE_MILLIS}. */
  private static final class HomeSince implements HomeAuthority {

    @Override
    public boolean mayRun(BookingPartition partition, long nowMillis) {
      return nowMillis >= SINCE_MILLIS;
    }

    @Override
    public OptionalLong since(BookingPartition partition) {
      return OptionalLong.of(SINCE_MILLIS);
    }
  }
}
