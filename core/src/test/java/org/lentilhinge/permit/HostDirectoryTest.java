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
      new HostDirectory(new OwnerRanking.Candidate("me", "a", "north"), List.of("seed", "me"));

  private static HostHeartbeat heartbeat(boolean leaving, String... hosts) {
    return new HostHeartbeat("a", "north", leaving, List.of(hosts));
  }

  @Test
  public void learnsHostsFromSeedsAndHeartbeats() {
    HostDirectoryTest fresh = new HostDirectoryTest();
    assertTrue(fresh.directory.recordHeartbeat("seed", heartbeat(false, "third", "me"), 0));
    assertEquals(fresh.directory.hostsToConnect(), Set.of("seed", "third"));
  }

  @Test
  public void expiredHostStillCountsAsSharingHost() {
    HostDirectoryTest fresh = new HostDirectoryTest();
    fresh.directory.recordHeartbeat("seed", heartbeat(false), 0);
    assertEquals(fresh.directory.expire(3_000), List.of("seed"));
    assertTrue(fresh.directory.liveHosts().isEmpty());
    assertEquals(fresh.directory.sharingHostCount(), 2);
  }

  @Test
  public void leavingHostIsNoCandidateForOwnership() {
    HostDirectoryTest fresh = new HostDirectoryTest();
    fresh.directory.recordHeartbeat("seed", heartbeat(true), 0);
    assertFalse(
        fresh.directory.candidates(false).stream()
            .anyMatch(candidate -> candidate.host().equals("seed")));
  }
}
