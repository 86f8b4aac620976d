package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.limit.RequestRate;
import org.testng.annotations.Test;

/** Tests loads ahead of requests, and the longest wait that a request states. */
public class LoadAheadTest {

  private static final String[] RESIDENT = {"a", "b", "c", "d", "e", "f"};

  private final EngineScheduler scheduler = scheduler();
  private long lastPermitId;

  private static EngineScheduler scheduler() {
    SchedulerSettings settings = new SchedulerSettings(64, 140_000, 6, 4, 300);
    EngineScheduler scheduler = new EngineScheduler(settings, "m", true, 22, new RequestRate());
    scheduler.setCanOrder(true);
    return scheduler;
  }

  private void reportResident() {
    Map<String, Long> loaded = new HashMap<>();
    for (String adapter : RESIDENT) {
      loaded.put(adapter, 0L);
    }
    scheduler.updateFromReport(true, loaded, Map.of(), 0);
  }

  private PermitRequest request(String adapter, Optional<PermitTerms> terms) {
    lastPermitId++;
    return new PermitRequest(
        lastPermitId, "r", "e", "m", adapter, 0, 500, 50, 1, 1_000, 5_000, Optional.empty(), terms);
  }

  private PermitRequest request(String adapter, long maximumWaitMillis) {
    return request(
        adapter, Optional.of(new PermitTerms(Optional.empty(), maximumWaitMillis, false)));
  }

  private static List<AdapterOrder> orders(List<EngineCommand> commands) {
    List<AdapterOrder> orders = new ArrayList<>();
    for (EngineCommand command : commands) {
      if (command instanceof EngineCommand.Order order) {
        orders.add(order.order());
      }
    }
    return orders;
  }

  private static PermitAnswer answer(List<EngineCommand> commands) {
    return ((EngineCommand.Answer) commands.get(0)).answer();
  }

  // A request was refused shortly before the load that it had waited for was done.
  @Test
  public void acceptedRequestIsNotRefusedWhileItsAdapterLoads() {
    LoadAheadTest fresh = new LoadAheadTest();
    AdapterOrder load = orders(fresh.scheduler.submit("h", fresh.request("a", 200), 0)).get(0);
    assertTrue(fresh.scheduler.decide(400).isEmpty());
    assertTrue(answer(fresh.scheduler.recordOrder(load, true, 450)).granted());
  }

  @Test
  public void requestThatWouldWaitLongerThanItStatesIsRefusedAtOnce() {
    LoadAheadTest fresh = new LoadAheadTest();
    fresh.reportResident();
    for (String name : RESIDENT) {
      fresh.scheduler.submit("h", fresh.request(name, Optional.empty()), 0);
    }
    assertTrue(fresh.scheduler.submit("h", fresh.request("w", 100), 10).isEmpty());
    PermitAnswer answer = answer(fresh.scheduler.submit("h", fresh.request("x", 100), 10));
    assertEquals(answer.reason(), "no-room");
  }

  // Further engines loaded a hot adapter only when a request had waited for it.
  @Test
  public void adapterIsLoadedAheadInPlaceOfOneWithLessDemand() {
    LoadAheadTest fresh = new LoadAheadTest();
    fresh.reportResident();
    List<AdapterOrder> orders = orders(fresh.scheduler.loadAhead("x", 3, 5, 100));
    assertEquals(orders.size(), 1);
    assertFalse(orders.get(0).load());
    assertTrue(orders(fresh.scheduler.loadAhead("x", 3, 5, 110)).isEmpty());
    fresh.scheduler.recordOrder(orders.get(0), true, 120);
    assertEquals(
        orders(fresh.scheduler.loadAhead("x", 3, 5, 130)),
        List.of(new AdapterOrder(true, "m", "x", 3)));
  }

  @Test
  public void adapterWithMoreDemandIsNotUnloadedForOneAhead() {
    LoadAheadTest fresh = new LoadAheadTest();
    fresh.reportResident();
    for (String name : RESIDENT) {
      PermitRequest request = fresh.request(name, Optional.empty());
      fresh.scheduler.submit("h", request, 0);
      fresh.scheduler.release(
          "h", new PermitReturn(request.permitId(), PermitReturn.Outcome.DONE, 0), 50);
    }
    assertTrue(orders(fresh.scheduler.loadAhead("x", 0, 0.05, 100)).isEmpty());
  }

  // A second owner could order the same engine.
  @Test
  public void nothingIsLoadedAheadWithoutTheRightToOrder() {
    LoadAheadTest fresh = new LoadAheadTest();
    fresh.reportResident();
    fresh.scheduler.setCanOrder(false);
    assertTrue(fresh.scheduler.loadAhead("x", 0, 5, 100).isEmpty());
  }
}
