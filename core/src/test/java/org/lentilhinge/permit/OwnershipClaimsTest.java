package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests what a host knows of the owners of an engine. */
public class OwnershipClaimsTest {

  private static final String ENGINE = "e/1";

  private final OwnershipClaims claims = new OwnershipClaims();

  private static EngineStatus owned(long fencingToken) {
    return new EngineStatus(ENGINE, true, List.of(), 0, 6, 0, fencingToken);
  }

  private Optional<Long> claimedElsewhereAt() {
    return claims.latestElsewhere(ENGINE, "self").map(OwnershipClaim::heardAtMillis);
  }

  // A claim that was relayed late kept the engines of a host that had left without an owner.
  @Test
  public void lateClaimOfLeavingHostIsIgnored() {
    claims.recordStatus("h", owned(0), 1_000);
    assertEquals(claimedElsewhereAt(), Optional.of(1_000L));
    claims.recordLeaving("h");
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
    claims.recordRestart("h");
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
}
