package org.lentilhinge.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.placement.EngineAnnouncement;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a gateway's view of the engines. */
public class FleetViewTest {

  private static final EndpointId ENGINE = new EndpointId("near-1a");
  private static final AdapterVersion FIRST = SampleFleet.version("first");
  private static final AdapterVersion SECOND = SampleFleet.version("second");

  private FleetView fleet;

  @BeforeMethod
  public void createFleet() {
    fleet =
        new FleetView(
            SampleFleet.NEAR_ZONE,
            SampleFleet.configuration(SampleFleet.STALL_WEIGHTED_POLICY, List.of()));
  }

  @Test
  public void indexesAnnouncedVersions() {
    fleet.applyAnnouncement(announcement(1, 1, true, Set.of(FIRST), Set.of()), 0);
    fleet.applyAnnouncement(announcement(1, 2, false, Set.of(SECOND), Set.of(FIRST)), 10);
    assertEquals(fleet.holders(FIRST).size(), 0);
    assertEquals(fleet.holders(SECOND).get(0).engine().id(), ENGINE);
  }

  @Test
  public void ignoresAnnouncementsOfPreviousOwner() {
    fleet.applyAnnouncement(announcement(2, 1, true, Set.of(FIRST), Set.of()), 0);
    fleet.applyAnnouncement(announcement(1, 9, true, Set.of(SECOND), Set.of()), 10);
    assertEquals(fleet.holders(SECOND).size(), 0);
  }

  @Test
  public void requestsCompleteAnnouncementAfterGap() {
    assertFalse(fleet.applyAnnouncement(announcement(1, 1, true, Set.of(FIRST), Set.of()), 0));
    assertTrue(fleet.applyAnnouncement(announcement(1, 3, false, Set.of(SECOND), Set.of()), 10));
  }

  @Test
  public void countsOwnDispatchesUntilTheyAreAnnounced() {
    fleet.applyAnnouncement(announcement(1, 1, true, Set.of(FIRST), Set.of()), 0);
    fleet.recordDispatch(ENGINE, OptionalLong.empty(), 10);
    fleet.applyAnnouncement(announcement(1, 2, false, Set.of(), Set.of()), 20);
    assertEquals(fleet.engine(ENGINE).get().outstandingRequests(), 1);
    fleet.applyAnnouncement(announcement(1, 3, false, Set.of(), Set.of()), 1_000);
    assertEquals(fleet.engine(ENGINE).get().outstandingRequests(), 0);
  }

  private static EngineAnnouncement announcement(
      long epoch,
      long sequence,
      boolean complete,
      Set<AdapterVersion> added,
      Set<AdapterVersion> removed) {
    return new EngineAnnouncement(
        ENGINE, epoch, sequence, complete, added, removed, Set.of(), 0, 0, 0, 0, false);
  }
}
