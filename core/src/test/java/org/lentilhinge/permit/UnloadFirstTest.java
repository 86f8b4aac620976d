package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.limit.RequestRate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that an adapter is unloaded before the next load if the host requires it. */
public class UnloadFirstTest {

  private static final AdapterOrder UNLOAD = new AdapterOrder(false, "m", "idle", 0);
  private static final AdapterOrder LOAD = new AdapterOrder(true, "m", "x", 0);

  private EngineScheduler scheduler;

  /** Creates a scheduler of an engine with free slots. */
  @BeforeMethod
  public void createScheduler() {
    SchedulerSettings settings = new SchedulerSettings(64, 140_000, 6, 4, 300);
    scheduler = new EngineScheduler(settings, "m", true, 22, new RequestRate());
    scheduler.setCanOrder(true);
    scheduler.setUnloadFirst(true);
  }

  private List<AdapterOrder> submit(String adapter) {
    PermitRequest request =
        new PermitRequest(
            1,
            "r",
            "e",
            "m",
            adapter,
            0,
            500,
            50,
            1,
            4_000,
            5_000,
            Optional.empty(),
            Optional.empty());
    return orders(scheduler.submit("h", request, 0));
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

  // Guards against a first load that an engine accepts of two hosts.
  @Test
  public void idleAdapterIsUnloadedAlthoughSlotsAreFree() {
    scheduler.updateFromReport(true, Map.of("idle", 0L), Map.of(), 0);
    assertEquals(submit("x"), List.of(UNLOAD));
    assertEquals(orders(scheduler.decide(50)), List.of(), "while the unload is under way");
    scheduler.setUnloadFirst(false);
    assertEquals(orders(scheduler.recordOrder(UNLOAD, true, 60)), List.of(LOAD));
  }

  @Test
  public void idleAdapterIsUnloadedBeforeLoadAhead() {
    scheduler.updateFromReport(true, Map.of("idle", 0L), Map.of(), 0);
    assertEquals(orders(scheduler.loadAhead("x", 0, 5, 100)), List.of(UNLOAD));
    scheduler.setUnloadFirst(false);
    scheduler.recordOrder(UNLOAD, true, 110);
    assertEquals(orders(scheduler.loadAhead("x", 0, 5, 120)), List.of(LOAD));
  }

  @Test
  public void adapterIsLoadedAtOnceIfNoneIsIdle() {
    scheduler.updateFromReport(true, Map.of(), Map.of(), 0);
    assertEquals(submit("x"), List.of(LOAD));
  }

  @Test
  public void adapterForWhichRequestsWaitIsNotUnloaded() {
    scheduler.updateFromReport(true, Map.of("x", 0L), Map.of(), 0);
    assertEquals(submit("x"), List.of(), "it is resident");
  }
}
