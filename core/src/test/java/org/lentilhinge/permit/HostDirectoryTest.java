package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests the discovery and the expiry of hosts. */
public class HostDirectoryTest {

  private final HostDirectory directory =
      new HostDirectory(new HolderRanking.Candidate("me", "a", "north"), List.of("seed", "me"));

  private static HostBeacon beacon(boolean leaving, String... hosts) {
    return new HostBeacon("a", "north", leaving, List.of(hosts));
  }

  @Test
  public void learnsOfHostsFromSeedsAndBeacons() {
    HostDirectoryTest fresh = new HostDirectoryTest();
    assertTrue(fresh.directory.heard("seed", beacon(false, "third", "me"), 0));
    assertEquals(fresh.directory.addresses(), Set.of("seed", "third"));
  }

  @Test
  public void silentHostIsGivenUpButStillCountsAsOneSharer() {
    HostDirectoryTest fresh = new HostDirectoryTest();
    fresh.directory.heard("seed", beacon(false), 0);
    assertEquals(fresh.directory.expire(3_000), List.of("seed"));
    assertTrue(fresh.directory.alive().isEmpty());
    assertEquals(fresh.directory.sharers(), 2);
  }

  @Test
  public void leavingHostHoldsNothingNew() {
    HostDirectoryTest fresh = new HostDirectoryTest();
    fresh.directory.heard("seed", beacon(true), 0);
    assertFalse(
        fresh.directory.candidates(false).stream()
            .anyMatch(candidate -> candidate.host().equals("seed")));
  }
}
