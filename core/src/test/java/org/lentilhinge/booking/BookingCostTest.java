package org.lentilhinge.booking;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.lentilhinge.identity.HostId;
import org.testng.annotations.Test;

/** Tests the number of messages between hosts for a booking without failures. */
public class BookingCostTest {

  private static final int BOOKINGS = 300;

  @Test
  public void forwardsAnOrdinaryKeyOnce() {
    long messages = messages(false, false);
    // Two of three callers reach a host that is not the owner, which costs a forward and a reply.
    assertTrue(messages <= 2 * BOOKINGS, messages + " messages");
  }

  @Test
  public void runsTicketsAtTheirIssuerWithoutMessage() {
    assertEquals(messages(true, true), 0);
  }

  @Test
  public void forwardsTicketsToTheirIssuerOnce() {
    long messages = messages(true, false);
    assertTrue(messages <= 2 * BOOKINGS, messages + " messages");
  }

  private static long messages(boolean tickets, boolean atIssuer) {
    Random random = new Random(1);
    BookingWorld world = new BookingWorld(random);
    world.advance(BookingWorld.LIMITS.quarantineMillis() + 500);
    world.stepIs(1);
    long before = world.messages();
    for (int number = 0; number < BOOKINGS; number++) {
      HostId issuer = BookingWorld.HOSTS.get(random.nextInt(3));
      HostId gateway = atIssuer ? issuer : BookingWorld.HOSTS.get(random.nextInt(3));
      String key = tickets ? world.node(issuer).ticket() : "key-" + number;
      world.book(gateway, key, "body");
      world.advance(20);
      assertEquals(world.runs(key), 1);
    }
    return world.messages() - before;
  }
}
