package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a host knows of the owners of an engine. */
public class OwnershipClaimsTest {

  private static final String ENGINE = "e/1";

  private OwnershipClaims claims;

  /** Creates a store without claims. */
  @BeforeMethod
  public void createClaims() {
    claims = new OwnershipClaims();
  }

  private static EngineStatus owned(long fencingToken) {
    return new EngineStatus(ENGINE, true, List.of(), 0, 6, 0).withFencingToken(fencingToken);
  }

  private Optional<Long> claimedElsewhereAt() {
    return claims.latestElsewhere(ENGINE, "self").map(OwnershipClaim::heardAtMillis);
  }

  // A claim that was relayed late kept the engines of a host that had left without an owner.
  @Test
  public void lateClaimOfLeavingHostIsIgnored() {
    claims.recordStatus("h", owned(0), 1_000);
    assertEquals(claimedElsewhereAt(), Optional.of(1_000L));
    claims.recordLeaving("h", 1_050);
    claims.recordStatus("h", owned(0), 1_100);
    assertEquals(claimedElsewhereAt(), Optional.empty());
    claims.recordEnd("h");
    claims.recordStatus("h", owned(0), 9_000);
    assertEquals(claimedElsewhereAt(), Optional.of(9_000L));
  }

  @Test
  public void claimOfLostHostStaysUntilItsProcessHasEnded() {
    claims.recordStatus("h", owned(0), 1_000);
    claims.recordEnd("h");
    assertEquals(claimedElsewhereAt(), Optional.of(1_000L));
    claims.recordRestart("h", 1_050);
    assertEquals(claimedElsewhereAt(), Optional.empty());
  }

  @Test
  public void highestTokenOutlivesTheClaimThatStatedIt() {
    claims.recordStatus("h", owned(17), 1_000);
    claims.recordStatus("h", new EngineStatus(ENGINE, false, List.of(), 0, 6, 0), 1_100);
    claims.recordStatus("i", owned(12), 1_200);
    assertEquals(claims.highestToken(ENGINE), 17);
    claims.removeEngine(ENGINE);
    assertEquals(claims.highestToken(ENGINE), 0);
  }

  private Optional<String> objection(String candidate, Map<String, Long> lost, long nowMillis) {
    return claims
        .objection(ENGINE, candidate, "self", 3_700, lost, nowMillis)
        .map(OwnershipObjection::reason);
  }

  // The withdrawal of a later claim removed an earlier claim of another host as well.
  @Test
  public void claimsOfTwoHostsAreKeptApart() {
    claims.recordStatus("h", owned(17), 1_000);
    claims.recordStatus("i", owned(12), 1_100);
    claims.recordStatus("i", new EngineStatus(ENGINE, false, List.of(), 0, 6, 0), 1_200);
    assertEquals(claimedElsewhereAt(), Optional.of(1_000L));
  }

  @Test
  public void recentClaimOfThirdHostIsAnObjection() {
    claims.recordStatus("h", owned(17), 1_000);
    assertEquals(objection("c", Map.of(), 4_600), Optional.of("claimed"));
    assertEquals(objection("h", Map.of(), 4_600), Optional.empty());
    assertEquals(objection("c", Map.of(), 4_700), Optional.empty());
  }

  // An owner that had just been lost could still send an order.
  @Test
  public void recentLossOfAnyHostIsAnObjection() {
    claims.recordStatus("h", owned(17), 1_000);
    Map<String, Long> lost = Map.of("h", 9_000L, "i", 9_500L);
    assertEquals(objection("c", lost, 11_900), Optional.of("host-lost"));
    assertEquals(objection("c", lost, 12_000), Optional.empty());
    assertEquals(objection("i", lost, 11_500), Optional.empty());
  }

  // An engine was taken over by a report from before the last orders of a host that then left.
  @Test
  public void endOfClaimIsKnown() {
    assertEquals(claims.orderedAtMillis(ENGINE), OptionalLong.empty());
    claims.recordLeaving("i", 900);
    assertEquals(claims.orderedAtMillis(ENGINE), OptionalLong.empty());
    claims.recordStatus("h", owned(17), 1_000);
    claims.recordLeaving("h", 1_100);
    assertEquals(claims.orderedAtMillis(ENGINE), OptionalLong.of(1_100));
  }
}
