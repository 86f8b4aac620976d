package org.lentilhinge.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the states of hosts, and the propagation of leaving hosts and endpoints. */
public class MembershipTest {

  private static final ZoneId ZONE = new ZoneId("zone");
  private static final HostId ONE = new HostId("one");
  private static final HostId TWO = new HostId("two");
  private static final EndpointId ENDPOINT = new EndpointId("engine");

  private Membership one;
  private Membership two;

  @BeforeMethod
  public void start() {
    one = membership(ONE);
    two = membership(TWO);
  }

  @Test
  public void marksSilentHostsAsSuspectAndThenAsGone() {
    two.onMessage(ONE, heartbeat(1, ConfigurationVersion.NONE), 0);
    assertEquals(two.state(ONE, 3_499), MemberState.LIVE);
    assertEquals(two.state(ONE, 3_500), MemberState.SUSPECT);
    assertEquals(two.state(ONE, 10_000), MemberState.GONE);
  }

  @Test
  public void marksHostsThatMissItsHeartbeatsAsSuspect() {
    exchange(one.onTick(0), two, ONE, 0);
    assertEquals(two.state(ONE, 0), MemberState.SUSPECT);
    exchange(two.onTick(0), one, TWO, 0);
    exchange(one.onTick(1_000), two, ONE, 1_000);
    assertEquals(two.state(ONE, 1_000), MemberState.LIVE);
  }

  @Test
  public void marksAllHostsAsSuspectAfterClockJump() {
    two.onMessage(ONE, heartbeat(1, ConfigurationVersion.NONE), 0);
    two.onClockJump(10);
    assertEquals(two.state(ONE, 10), MemberState.SUSPECT);
  }

  @Test
  public void replacesPreviousIncarnationOfRestartedHost() {
    Heartbeat later = heartbeat(2, ConfigurationVersion.NONE);
    two.onMessage(ONE, heartbeat(1, ConfigurationVersion.NONE), 0);
    assertTrue(
        two.onMessage(ONE, later, 1)
            .contains(new MembershipCommand.Restarted(incarnation(ONE, 1), incarnation(ONE, 2))));
    two.onMessage(ONE, heartbeat(1, ConfigurationVersion.NONE), 2);
    assertEquals(two.member(ONE, 2).orElseThrow().incarnation().orElseThrow(), incarnation(ONE, 2));
  }

  @Test
  public void describesItselfWithItsOwnConfiguration() {
    one.onConfiguration(new ConfigurationVersion(7));
    assertEquals(one.member(ONE, 0).orElseThrow().configuration(), new ConfigurationVersion(7));
  }

  @Test
  public void reportsPeersWithHigherConfigurationVersion() {
    ConfigurationVersion version = new ConfigurationVersion(7);
    assertTrue(
        two.onMessage(ONE, heartbeat(1, version), 0)
            .contains(new MembershipCommand.ConfigurationAhead(ONE, version)));
  }

  @Test
  public void expiresLeavingEndpointsAlthoughPeersResendThem() {
    exchange(one.onEndpointLeaving(ENDPOINT, 0), two, ONE, 500);
    assertEquals(two.leavingEndpoints(), Set.of(ENDPOINT));
    for (long now = 1_000; now < 62_000; now += 250) {
      exchange(one.onTick(now), two, ONE, now);
      exchange(two.onTick(now), one, TWO, now);
    }
    assertEquals(one.leavingEndpoints(), Set.of());
    assertEquals(two.leavingEndpoints(), Set.of());
  }

  @Test
  public void propagatesHostsListedAsLeaving() {
    List<ListedHost> leaving =
        List.of(new ListedHost(ONE, ZONE, "", true), new ListedHost(TWO, ZONE, "", false));
    exchange(one.onTick(0), two, ONE, 0);
    HostId three = new HostId("three");
    Heartbeat received =
        new Heartbeat(
            incarnation(three, 1),
            ZONE,
            false,
            ConfigurationVersion.NONE,
            List.of(),
            List.of(ONE),
            List.of());
    two.onMessage(three, received, 10);
    assertEquals(two.state(ONE, 10), MemberState.LEAVING);
    assertFalse(one.onHostList(leaving, 20).isEmpty());
  }

  private static void exchange(
      List<MembershipCommand> commands, Membership receiver, HostId from, long nowMillis) {
    for (MembershipCommand command : commands) {
      if (command instanceof MembershipCommand.Send send) {
        receiver.onMessage(from, send.message(), nowMillis);
      }
    }
  }

  private static Membership membership(HostId self) {
    List<ListedHost> seeds =
        List.of(new ListedHost(ONE, ZONE, "", false), new ListedHost(TWO, ZONE, "", false));
    return new Membership(incarnation(self, 1), ZONE, seeds, MembershipSettings.defaults(), 0);
  }

  private static Heartbeat heartbeat(long number, ConfigurationVersion version) {
    return new Heartbeat(
        incarnation(ONE, number), ZONE, false, version, List.of(), List.of(), List.of());
  }

  private static HostIncarnation incarnation(HostId host, long number) {
    return new HostIncarnation(host, number);
  }
}
