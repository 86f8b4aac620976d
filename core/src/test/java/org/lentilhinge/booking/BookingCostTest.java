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
  public void forwardsOrdinaryKeyOnce() {
    long messages = messages(false, false);
    // Two of three callers reach a host that is not the owner, which costs a forward and a reply.
    assertTrue(messages <= 2 * BOOKINGS, messages + " messages");
  }

  @Test
  public void runsTicketsAtTheirIssuerWithoutPeerMessages() {
    assertEquals(messages(true, true), 0);
  }

  @Test
  public void forwardsTicketsToTheirIssuerOnce() {
    long messages = messages(true, false);
    assertTrue(messages <= 2 * BOOKINGS, messages + " messages");
  }

  private static long messages(boolean tickets, boolean atIssuer) {
    Random random = new Random(1);
    BookingSimulation simulation = new BookingSimulation(random);
    simulation.advance(BookingSimulation.LIMITS.quarantineMillis() + 500);
    simulation.setStepMillis(1);
    long messagesBefore = simulation.messages();
    for (int number = 0; number < BOOKINGS; number++) {
      HostId issuer = BookingSimulation.HOSTS.get(random.nextInt(3));
      HostId gateway = atIssuer ? issuer : BookingSimulation.HOSTS.get(random.nextInt(3));
      String key = tickets ? simulation.node(issuer).issueTicket() : "key-" + number;
      simulation.book(gateway, key, "body");
      simulation.advance(20);
      assertEquals(simulation.runs(key), 1);
    }
    return simulation.messages() - messagesBefore;
  }
}
