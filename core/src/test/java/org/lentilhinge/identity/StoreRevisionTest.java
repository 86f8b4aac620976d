package org.lentilhinge.identity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the order of the states of a store. */
public class StoreRevisionTest {

  @Test
  public void laterEraFollowsWhateverItsRevision() {
    StoreRevision former = new StoreRevision(1, 500);
    StoreRevision restored = new StoreRevision(2, 300);
    assertTrue(former.isBefore(restored));
    assertTrue(StoreRevision.NONE.isBefore(new StoreRevision(0, 0)));
    assertEquals(restored.latest(former), restored);
    assertEquals(former.latest(restored), restored);
  }

  // Fencing tokens are made of this number and must not fall when the revision does.
  @Test
  public void numberRisesAcrossRestore() {
    StoreRevision former = new StoreRevision(1, 1_000_500);
    assertTrue(new StoreRevision(2, 300).toNumber() > new StoreRevision(1, 500).toNumber());
    assertTrue(new StoreRevision(2, 300).toNumber() > former.toNumber());
    assertTrue(new StoreRevision(1, 501).toNumber() > new StoreRevision(1, 500).toNumber());
  }

  @Test
  public void lowerNumberNeverReplacesHigherOne() {
    DeclaredVersion lost = new DeclaredVersion(9, new StoreRevision(1, 500));
    DeclaredVersion copied = new DeclaredVersion(7, new StoreRevision(2, 300));
    DeclaredVersion again = new DeclaredVersion(9, new StoreRevision(2, 310));
    assertTrue(copied.isBefore(lost));
    assertTrue(lost.isBefore(again));
    assertTrue(again.isBefore(new DeclaredVersion(10, new StoreRevision(1, 1))));
  }
}
