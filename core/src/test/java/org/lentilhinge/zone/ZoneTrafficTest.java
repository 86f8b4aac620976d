package org.lentilhinge.zone;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests how much demand leaves a zone, in virtual time. */
public class ZoneTrafficTest {

  private static final int HOSTS_PER_ZONE = 12;
  private static final List<String> ZONES = List.of("a", "b", "c", "d");

  private static ZoneTrafficSimulation simulation(double demandOfFirst, boolean planned) {
    ZoneTrafficSimulation simulation = new ZoneTrafficSimulation(HOSTS_PER_ZONE, planned);
    simulation.run(2_000);
    simulation.setDemand("a", demandOfFirst);
    simulation.run(2_000);
    return simulation;
  }

  private static int leaving(ZoneTrafficSimulation simulation, String zone) {
    return ZONES.stream()
        .filter(other -> !other.equals(zone))
        .mapToInt(other -> simulation.sent(zone, other))
        .sum();
  }

  // Among nearly equal engines of all zones, requests were sent anywhere.
  @Test
  public void nothingLeavesWhileTheOwnZoneHasCapacity() {
    ZoneTrafficSimulation simulation = simulation(0.5, true);
    simulation.run(2_000);
    ZONES.forEach(zone -> assertEquals(leaving(simulation, zone), 0, zone));
    ZoneTrafficSimulation former = simulation(0.5, false);
    former.run(2_000);
    assertTrue(leaving(former, "a") > 50);
  }

  @Test
  public void shortZoneSendsToBothZonesWithCapacity() {
    ZoneTrafficSimulation simulation = simulation(1.5, true);
    simulation.run(4_000);
    assertTrue(simulation.sent("a", "b") > 100);
    assertTrue(simulation.sent("a", "c") > 100);
    assertTrue(simulation.sent("a", "d") < simulation.sent("a", "b"));
    assertEquals(simulation.sent("b", "a") + simulation.sent("c", "a"), 0);
    // The zone's own engines serve two thirds of the 800 requests.
    assertTrue(simulation.refused("a") < 80, "refused " + simulation.refused("a"));
  }

  @Test
  public void nothingLeavesWhileAllZonesAreShort() {
    ZoneTrafficSimulation simulation = new ZoneTrafficSimulation(HOSTS_PER_ZONE, true);
    ZONES.forEach(zone -> simulation.setDemand(zone, 2));
    simulation.run(3_000);
    simulation.run(3_000);
    int sent = ZONES.stream().mapToInt(zone -> simulation.sent(zone, zone)).sum();
    int left = ZONES.stream().mapToInt(zone -> leaving(simulation, zone)).sum();
    assertTrue(left < 0.02 * sent, left + " of " + sent);
  }

  @Test
  public void zoneThatIsCutOffReceivesNothingAndServesItself() {
    ZoneTrafficSimulation simulation = simulation(1.5, true);
    simulation.cutOff("b");
    simulation.run(2_000);
    simulation.run(2_000);
    assertEquals(simulation.sent("a", "b"), 0);
    assertEquals(leaving(simulation, "b"), 0);
    assertEquals(simulation.refused("b"), 0);
    assertTrue(simulation.sent("a", "c") > 50);
  }

  // Hosts with the same statuses all sent to the engines that were idle 400 ms before.
  @Test
  public void herdOfHostsDoesNotOverloadTheReceivers() {
    ZoneTrafficSimulation simulation = simulation(2, true);
    simulation.run(4_000);
    ZoneTrafficSimulation former = simulation(2, false);
    former.run(4_000);
    int refused = simulation.refused("b") + simulation.refused("c");
    int formerlyRefused = former.refused("b") + former.refused("c");
    assertTrue(refused <= 16, "refused " + refused + " of 320");
    assertTrue(refused * 3 < formerlyRefused, refused + ", formerly " + formerlyRefused);
    assertTrue(simulation.meanWaitMillis("b") < former.meanWaitMillis("b"));
  }

  @Test
  public void sharesDoNotOscillateBetweenNothingAndAll() {
    ZoneTrafficSimulation simulation = simulation(1.5, true);
    for (int step = 0; step < 12; step++) {
      simulation.run(1_000);
      int left = leaving(simulation, "a");
      assertTrue(left > 10 && left < 130, "left " + left + " of 200 requests");
    }
  }

  @Test
  public void leavingEndsWithinAboutSecondAfterTheDemandFell() {
    ZoneTrafficSimulation simulation = simulation(1.5, true);
    simulation.setDemand("a", 0.3);
    simulation.run(1_200);
    simulation.run(1_000);
    assertEquals(leaving(simulation, "a"), 0);
  }
}
