package org.lentilhinge.host;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.grant.GrantLedger;
import org.lentilhinge.grant.GrantSettings;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.lease.FencingSequence;
import org.lentilhinge.placement.EndpointPlacement;
import org.lentilhinge.placement.EngineAnnouncer;
import org.lentilhinge.placement.LeastPopularEviction;
import org.lentilhinge.placement.LoadRequest;
import org.lentilhinge.placement.PlacementScheduler;
import org.lentilhinge.placement.PlacementSettings;
import org.lentilhinge.placement.WaitTimeRanking;
import org.lentilhinge.store.LoadPermits;
import org.testng.annotations.Test;

/** Tests how orders to engines acquire and release permits of the store's load budget. */
public class EngineOrdersTest {

  private static final HostId HOST = new HostId("north-a");

  /** Grants every permit and counts the permits in use. */
  private static final class CountingPermits implements LoadPermits {

    private int inUse;

    @Override
    public boolean tryStart(boolean speculative, long nowMillis) {
      inUse++;
      return true;
    }

    @Override
    public void finish(long nowMillis) {
      inUse--;
    }

    @Override
    public void reportDemand(double waitingRequestSeconds, long nowMillis) {
      // Every permit is granted at once, so the demand has no effect.
    }

    @Override
    public long expectedWaitMillis(int loadsAhead, long nowMillis) {
      return 0;
    }
  }

  @Test
  public void releasesLoadPermitOnceIfEngineRestarts() {
    Engine engine = VirtualConfiguration.of(1).engines().values().iterator().next();
    AdapterVersion version = VirtualConfiguration.request(1, 1).version();
    CountingPermits permits = new CountingPermits();
    PlacementScheduler scheduler = new PlacementScheduler(permits, new WaitTimeRanking());
    OwnedEngines owned = owned(engine, scheduler);
    EngineOrders orders =
        new EngineOrders(
            new FencingSequence(HOST),
            scheduler,
            owned,
            new GrantReplies(new HostIncarnation(HOST, 1)),
            2_000);
    List<HostCommand> commands = new ArrayList<>();
    LoadRequest request = new LoadRequest(HOST, version, Urgency.NORMAL, 1);
    orders.execute(scheduler.request(engine.id(), request, 0), 0, commands);
    assertEquals(permits.inUse, 1);
    orders.onRestarted(engine.id(), 10, commands);
    assertEquals(permits.inUse, 1, "the load that is still requested was ordered again");
    HostEvent.OrderEnded unanswered =
        new HostEvent.OrderEnded(engine.id(), version, true, new OrderOutcome.Unanswered());
    orders.onOrderEnded(unanswered, 20, commands);
    assertEquals(permits.inUse, 1, "the end of the abandoned load releases no permit");
    HostEvent.OrderEnded failed =
        new HostEvent.OrderEnded(engine.id(), version, true, new OrderOutcome.Failed("no weights"));
    orders.onOrderEnded(failed, 30, commands);
    assertEquals(permits.inUse, 0);
  }

  private static OwnedEngines owned(Engine engine, PlacementScheduler scheduler) {
    EndpointPlacement placement =
        new EndpointPlacement(
            engine,
            PlacementSettings.DEFAULTS,
            new LeastPopularEviction(0),
            new WaitTimeRanking(),
            version -> true,
            new Random(1));
    placement.reconcile(Set.of(), 0, 0);
    scheduler.acquire(placement);
    OwnedEngine ownedEngine =
        new OwnedEngine(engine, new GrantLedger(engine.id(), GrantSettings.defaults(5_000)));
    ownedEngine.setPlacement(placement, new EngineAnnouncer(placement, 1));
    OwnedEngines owned = new OwnedEngines();
    owned.add(ownedEngine);
    return owned;
  }
}
