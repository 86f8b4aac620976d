package org.lentilhinge.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.routing.SampleFleet;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the decisions of {@link EndpointPlacement} to load, unload and decline versions. */
public class EndpointPlacementTest {

  private static final int SLOTS = 2;
  private static final HostId FIRST = new HostId("first");
  private static final HostId SECOND = new HostId("second");
  private static final AdapterVersion WANTED = SampleFleet.version("wanted");
  private static final AdapterVersion HOT = SampleFleet.version("hot");
  private static final AdapterVersion RARE = SampleFleet.version("rare");

  private final Set<AdapterVersion> inUse = new HashSet<>();
  private EndpointPlacement placement;

  @BeforeMethod
  public void createPlacement() {
    inUse.clear();
    placement =
        new EndpointPlacement(
            SampleFleet.engine("engine", "near-1", SLOTS),
            PlacementSettings.forPolicy(SampleFleet.STALL_WEIGHTED_POLICY),
            new LeastPopularEviction(PlacementSettings.DEFAULTS.minimumResidencyMillis()),
            new WaitTimeRanking(),
            version -> !inUse.contains(version),
            new SplittableRandom(1));
  }

  @Test
  public void loadsOnceForAllGatewaysThatWait() {
    request(FIRST, WANTED, 0);
    request(SECOND, WANTED, 10);
    start(20);
    assertEquals(placement.demand(30), Optional.empty());
    assertEquals(
        placement.onLoaded(WANTED, 300),
        List.of(
            new PlacementCommand.Permit(FIRST, WANTED),
            new PlacementCommand.Permit(SECOND, WANTED)));
  }

  @Test
  public void permitsResidentVersionAtOnce() {
    makeResident(WANTED);
    assertEquals(request(FIRST, WANTED, 10), List.of(new PlacementCommand.Permit(FIRST, WANTED)));
  }

  @Test
  public void usesFreeSlotInsteadOfEvicting() {
    makeResident(HOT);
    request(FIRST, WANTED, 10_000);
    assertEquals(
        start(10_000), List.of(new PlacementCommand.StartLoad(WANTED, PlacementReason.REQUESTED)));
  }

  @Test
  public void evictsLeastRequestedVersionBeforeLoading() {
    makeResident(HOT, RARE);
    placement.recordUse(HOT, 10, 10);
    placement.recordUse(RARE, 1, 9_000);
    request(FIRST, WANTED, 10_000);
    assertEquals(
        start(10_000), List.of(new PlacementCommand.StartUnload(RARE, PlacementReason.REPLACED)));
    assertEquals(
        placement.onUnloaded(RARE, 10_010),
        List.of(new PlacementCommand.StartLoad(WANTED, PlacementReason.REQUESTED)));
  }

  @Test
  public void doesNotEvictVersionInUse() {
    makeResident(HOT, RARE);
    inUse.addAll(Set.of(HOT, RARE));
    assertEquals(declineOf(request(FIRST, WANTED, 10_000)), DeclineReason.NO_FREE_SLOT);
    assertEquals(placement.demand(10_000), Optional.empty());
  }

  @Test
  public void keepsRecentlyLoadedVersions() {
    makeResident(HOT, RARE);
    request(FIRST, WANTED, 100);
    assertEquals(placement.demand(100), Optional.empty());
  }

  @Test
  public void selectsAnotherVictimWhenUnloadFails() {
    makeResident(HOT, RARE);
    placement.recordUse(HOT, 10, 10);
    request(FIRST, WANTED, 10_000);
    start(10_000);
    inUse.add(RARE);
    assertEquals(
        placement.onUnloadFailed(RARE, 10_010),
        List.of(new PlacementCommand.StartUnload(HOT, PlacementReason.REPLACED)));
  }

  @Test
  public void waitsLongerAfterEachFailedLoad() {
    request(FIRST, WANTED, 0);
    start(0);
    placement.onLoadFailed(WANTED, 250);
    assertEquals(placement.demand(290), Optional.empty());
    start(360);
    placement.onLoadFailed(WANTED, 600);
    assertEquals(placement.demand(690), Optional.empty());
    assertTrue(placement.demand(810).isPresent());
  }

  @Test
  public void declinesPoisonedVersionButServesOthers() {
    request(FIRST, WANTED, 0);
    List<PlacementCommand> last = failUntilPoisoned();
    assertEquals(declineOf(last), DeclineReason.POISONED);
    assertEquals(declineOf(request(SECOND, WANTED, 15_000)), DeclineReason.POISONED);
    request(FIRST, HOT, 15_000);
    start(15_000);
    assertEquals(placement.onLoaded(HOT, 15_250), List.of(new PlacementCommand.Permit(FIRST, HOT)));
  }

  @Test
  public void declinesWhenTheStoreIsBusyForTooLong() {
    request(FIRST, WANTED, 0);
    long limit = PlacementSettings.DEFAULTS.maximumWaitMillis();
    assertEquals(placement.advance(limit), List.of());
    assertEquals(declineOf(placement.advance(limit + 1)), DeclineReason.STORE_BUSY);
  }

  @Test
  public void prefetchesFrequentlyHintedVersion() {
    makeResident(HOT, RARE);
    placement.recordUse(HOT, 30, 0);
    placement.recordUse(RARE, 1, 0);
    placement.recordUse(WANTED, 3, 10_000);
    assertEquals(placement.demand(10_000), Optional.empty());
    placement.recordUse(WANTED, 30, 20_000);
    assertEquals(placement.demand(20_000).orElseThrow().reason(), PlacementReason.PREFETCH);
  }

  @Test
  public void freesOneSlotInAdvanceButNoVersionInUse() {
    makeResident(HOT, RARE);
    placement.recordUse(HOT, 5, 1_000);
    assertEquals(placement.advance(3_000), List.of());
    inUse.add(RARE);
    placement.recordUse(HOT, 5, 9_000);
    assertEquals(placement.advance(10_000), List.of());
    inUse.clear();
    assertEquals(
        placement.advance(10_000),
        List.of(new PlacementCommand.StartUnload(RARE, PlacementReason.IDLE)));
    placement.onUnloaded(RARE, 10_010);
    assertEquals(placement.advance(60_000), List.of());
  }

  @Test
  public void restartsLostLoadsAfterEngineRestart() {
    request(FIRST, WANTED, 0);
    start(0);
    assertEquals(placement.onRestarted(), 1);
    assertEquals(placement.demand(10).orElseThrow().version(), WANTED);
  }

  private List<PlacementCommand> failUntilPoisoned() {
    List<PlacementCommand> last = List.of();
    long nowMillis = 0;
    for (int failure = 0; failure < PlacementSettings.DEFAULTS.poisonFailures(); failure++) {
      nowMillis += failure == 0 ? 0 : PlacementSettings.DEFAULTS.retryBaseMillis() << failure;
      start(nowMillis);
      last = placement.onLoadFailed(WANTED, nowMillis);
    }
    return last;
  }

  private void makeResident(AdapterVersion... versions) {
    placement.reconcile(Set.of(versions), 0, 0);
  }

  private List<PlacementCommand> request(HostId gateway, AdapterVersion version, long nowMillis) {
    return placement.request(new LoadRequest(gateway, version, Urgency.NORMAL, 1), nowMillis);
  }

  private List<PlacementCommand> start(long nowMillis) {
    return placement.startLoad(placement.demand(nowMillis).orElseThrow(), nowMillis);
  }

  private static DeclineReason declineOf(List<PlacementCommand> commands) {
    return ((PlacementCommand.Decline) commands.get(0)).reason();
  }
}
