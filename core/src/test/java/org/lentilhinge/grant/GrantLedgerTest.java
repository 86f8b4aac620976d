package org.lentilhinge.grant;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which versions an owner may evict. */
public class GrantLedgerTest {

  private static final EndpointId ENDPOINT = new EndpointId("engine");
  private static final AdapterVersion VERSION = new AdapterVersion(new AdapterId("drains"), 1);
  private static final HostIncarnation GATEWAY = new HostIncarnation(new HostId("gateway"), 1);
  private static final long REQUEST_MILLIS = 60_000;
  private static final long LONG_UPTIME_MILLIS = 1_000_000;

  private final GrantSettings settings = GrantSettings.defaults(REQUEST_MILLIS);
  private GrantLedger ledger;

  @BeforeMethod
  public void start() {
    ledger = new GrantLedger(ENDPOINT, settings);
  }

  @Test
  public void pinsUntilTheRequestsOfTheGrantMustHaveEnded() {
    ledger.grant(GATEWAY, 1, VERSION, 0);
    assertFalse(ledger.mayEvict(VERSION, settings.maximumPinMillis() - 1));
    assertTrue(ledger.mayEvict(VERSION, settings.maximumPinMillis()));
  }

  @Test
  public void unpinsOnReleaseUnlessLaterRequestsArrivedBefore() {
    ledger.grant(GATEWAY, 3, VERSION, 0);
    ledger.onRelease(GATEWAY, 2, List.of(VERSION));
    assertFalse(ledger.mayEvict(VERSION, 1));
    ledger.onRelease(GATEWAY, 4, List.of(VERSION));
    assertTrue(ledger.mayEvict(VERSION, 1));
    assertEquals(ledger.grant(GATEWAY, 3, VERSION, 2), OptionalLong.empty());
  }

  @Test
  public void endsRecoveryWhenEachHostHasRegistered() {
    HostId other = new HostId("other");
    ledger.beginRecovery(Set.of(GATEWAY.host(), other), LONG_UPTIME_MILLIS, 0);
    ledger.onRegistration(registration(GATEWAY, REQUEST_MILLIS, List.of()), 10);
    assertFalse(ledger.mayEvict(VERSION, 10));
    HostIncarnation incarnation = new HostIncarnation(other, 1);
    HeldGrant held = new HeldGrant(VERSION, 5_000, 1);
    ledger.onRegistration(registration(incarnation, REQUEST_MILLIS, List.of(held)), 20);
    assertFalse(ledger.isRecovering(20));
    assertFalse(ledger.mayEvict(VERSION, 20 + 5_000 + REQUEST_MILLIS));
  }

  @Test
  public void waitsForRequestsOfTheEarlierIncarnationOfRestartedGateways() {
    ledger.beginRecovery(Set.of(GATEWAY.host()), LONG_UPTIME_MILLIS, 0);
    ledger.onRegistration(registration(GATEWAY, 1_000, List.of()), 10);
    assertTrue(ledger.isRecovering(REQUEST_MILLIS - 1_000));
    assertFalse(ledger.isRecovering(REQUEST_MILLIS - 1_000 + 10));
  }

  @Test
  public void waitsForGatewaysThatFailedBeforeTheOwnerStarted() {
    ledger.beginRecovery(Set.of(), 1_000, 0);
    assertTrue(ledger.isRecovering(settings.maximumPinMillis() - 1_001));
    assertFalse(ledger.isRecovering(settings.maximumPinMillis() - 1_000));
  }

  @Test
  public void loadReportsNeverUnpinVersions() {
    ledger.onBusyVersions(List.of(VERSION), 0);
    assertFalse(ledger.mayEvict(VERSION, 1));
    ledger.onBusyVersions(List.of(), 2);
    assertFalse(ledger.mayEvict(VERSION, 3));
  }

  @Test
  public void unpinsOnConfirmedEndOnlyAfterTheGrantHasExpired() {
    ledger.grant(GATEWAY, 1, VERSION, 0);
    ledger.onRequestsEnded(GATEWAY, VERSION, settings.grantMillis() - 1);
    assertFalse(ledger.mayEvict(VERSION, settings.grantMillis()));
    ledger.onRequestsEnded(GATEWAY, VERSION, settings.grantMillis());
    assertTrue(ledger.mayEvict(VERSION, settings.grantMillis()));
  }

  @Test
  public void limitsPinsOfRestartedGatewaysFromTheirRestart() {
    ledger.grant(GATEWAY, 1, VERSION, 0);
    ledger.onRestart(new HostIncarnation(GATEWAY.host(), 2), 1_000);
    assertFalse(ledger.mayEvict(VERSION, REQUEST_MILLIS));
    assertTrue(ledger.mayEvict(VERSION, 1_500 + REQUEST_MILLIS));
  }

  @Test
  public void grantsNothingWhileItEvicts() {
    assertTrue(ledger.beginEviction(VERSION, 0));
    assertEquals(ledger.grant(GATEWAY, 1, VERSION, 1), OptionalLong.empty());
    ledger.endEviction(VERSION);
    assertTrue(ledger.grant(GATEWAY, 2, VERSION, 2).isPresent());
  }

  private static GrantRegistration registration(
      HostIncarnation gateway, long uptimeMillis, List<HeldGrant> held) {
    EndpointGrants grants = new EndpointGrants(ENDPOINT, held);
    return new GrantRegistration(gateway, 1, uptimeMillis, List.of(grants));
  }
}
