package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.forward.RequestKind;
import org.lentilhinge.forward.ServiceShare;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.published.DeclarationNews;
import org.lentilhinge.published.DeclaredState;
import org.lentilhinge.published.KnownDeclarations;
import org.lentilhinge.runtime.peer.MessageCodec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that large configurations reach all hosts of a region without a store in time. */
public class LargeConfigurationTest {

  /** The time within which a change has to be applied by all hosts, in milliseconds. */
  private static final long APPLY_MILLIS = 4_000;

  /** The bytes that a host may spend on control in a second. */
  private static final int CONTROL_BYTES_PER_SECOND = 9_000;

  private static final long HEARTBEAT_MILLIS = 300;

  /** The speed of the slowest links of hosts, 7 Mbit/s, in bytes per millisecond. */
  private static final long SLOW_LINK_BYTES_PER_MILLI = 875;

  private static final int ROUTES = 1_440;
  private static final int RESPONSE_BYTES = 450_000;

  @DataProvider
  public static Object[][] intervals() {
    return new Object[][] {{330L}, {1_070L}, {3_000L}};
  }

  private static ForwardConfiguration configuration(long version) {
    return configuration(version, ROUTES);
  }

  private static ForwardConfiguration configuration(long version, int count) {
    List<ForwardRoute> routes = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      // Each version changes the timeout of one route.
      long timeoutMillis = index == 700 ? 5_000 + version : 5_000;
      routes.add(
          new ForwardRoute(
              "r-zji9n" + index,
              "ficu95.example",
              "/lohu" + index + "/",
              RequestKind.STREAM,
              timeoutMillis,
              1_000,
              1,
              List.of(new ServiceShare("huvo11a", 90), new ServiceShare("wuno96b", 10)),
              1,
              false,
              false));
    }
    ForwardService service = new ForwardService("huvo11a", 370, Optional.empty());
    return new ForwardConfiguration(
        new DeclaredVersion(version, new StoreRevision(0, version)),
        routes,
        Map.of("huvo11a", service),
        ForwardLimits.DEFAULT);
  }

  // Hosts of one region kept an old configuration for good once each of them read the store itself.
  @Test(dataProvider = "intervals")
  public void changesInQuickSuccessionReachAllHosts(long intervalMillis) {
    ZoneSimulation simulation = new ZoneSimulation(42, 10, intervalMillis);
    simulation.publish(configuration(1), RESPONSE_BYTES);
    for (int zone = 0; zone < 3; zone++) {
      simulation.addZone(12);
    }
    simulation.runUntil(10_000);
    long version = 1;
    for (long now = 10_000; now <= 30_000; now += 10) {
      if (now < 20_000 && (now - 10_000) / 10 % (intervalMillis / 10) == 0) {
        version++;
        simulation.publish(configuration(version), RESPONSE_BYTES);
      }
      simulation.runUntil(now);
      assertEquals(simulation.outdatedHosts(APPLY_MILLIS), 0, "outdated hosts at " + now);
    }
  }

  @Test
  public void manyRoutesAddedAtOnceReachAllHosts() {
    ZoneSimulation simulation = new ZoneSimulation(42, 10, 1);
    simulation.publish(configuration(1, 40), RESPONSE_BYTES * 40 / ROUTES);
    for (int zone = 0; zone < 3; zone++) {
      simulation.addZone(12);
    }
    simulation.runUntil(10_000);
    simulation.publish(configuration(2), RESPONSE_BYTES);
    simulation.runUntil(10_000 + APPLY_MILLIS);
    assertEquals(simulation.outdatedHosts(APPLY_MILLIS), 0);
  }

  // The hosts of a zone whose reader was late all read the store, which made all of them late.
  @Test
  public void changesAfterManyRoutesWereAddedReachAllHosts() {
    // Requests take half of the link between the regions.
    ZoneSimulation simulation = new ZoneSimulation(21, 10, 1);
    simulation.publish(configuration(1, 40), RESPONSE_BYTES * 40 / ROUTES);
    for (int zone = 0; zone < 3; zone++) {
      simulation.addZone(12);
    }
    simulation.runUntil(10_000);
    simulation.publish(configuration(2), RESPONSE_BYTES);
    long version = 2;
    for (long now = 10_000; now <= 35_000; now += 10) {
      if (now >= 11_500 && now < 25_000 && (now - 11_500) % 1_070 == 0) {
        version++;
        simulation.publish(configuration(version), RESPONSE_BYTES);
      }
      simulation.runUntil(now);
      assertEquals(simulation.outdatedHosts(APPLY_MILLIS), 0, "outdated hosts at " + now);
    }
  }

  // News of many routes filled the link of a reader for more than a second, and it was suspected.
  @Test
  public void newsOfManyRoutesDelayHeartbeatsByLessThanTheirInterval() {
    KnownDeclarations reader = new KnownDeclarations();
    reader.update(
        StoreRevision.NONE,
        new DeclaredState(Optional.of(configuration(1, 40)), List.of(), new StoreRevision(0, 10)));
    DeclarationNews news =
        reader.update(
            new StoreRevision(0, 10),
            new DeclaredState(Optional.of(configuration(2)), List.of(), new StoreRevision(0, 11)));
    int bytes = new MessageCodec(ForwardMessages.registry()).encode(news).length;
    long delayMillis = bytes * 11L / SLOW_LINK_BYTES_PER_MILLI;
    assertTrue(delayMillis < HEARTBEAT_MILLIS, delayMillis + " ms for 11 hosts");
  }

  // Each change was sent with all routes, 200 KB to each host of a zone.
  @Test
  public void newsOfOneChangeKeepToTheBytesForControl() {
    KnownDeclarations reader = new KnownDeclarations();
    reader.update(
        StoreRevision.NONE,
        new DeclaredState(Optional.of(configuration(1)), List.of(), new StoreRevision(0, 10)));
    DeclarationNews news =
        reader.update(
            new StoreRevision(0, 10),
            new DeclaredState(Optional.of(configuration(2)), List.of(), new StoreRevision(0, 11)));
    int bytes = new MessageCodec(ForwardMessages.registry()).encode(news).length;
    assertTrue(bytes <= CONTROL_BYTES_PER_SECOND, bytes + " bytes");
  }
}
