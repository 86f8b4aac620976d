package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.limit.RequestRate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a slot stays occupied until the engine reports that it is free. */
public class AdapterReplacementTest {

  private static final int SLOTS = 6;
  private static final SchedulerSettings SETTINGS =
      new SchedulerSettings(64, 140_000, SLOTS, 4, 300);
  private static final AdapterOrder REPLACEMENT = new AdapterOrder(true, "m", "a1", 2);

  private EngineScheduler scheduler;
  private long lastPermitId;

  /** Creates a scheduler of an engine whose slots are all occupied by version 1 of an adapter. */
  @BeforeMethod
  public void createScheduler() {
    scheduler = new EngineScheduler(SETTINGS, "m", true, 22, new RequestRate());
    scheduler.setCanOrder(true);
    scheduler.updateFromReport(true, sixAdapters(), Map.of(), 0);
  }

  private static Map<String, Long> sixAdapters() {
    Map<String, Long> adapters = new HashMap<>();
    for (int index = 1; index <= SLOTS; index++) {
      adapters.put("a" + index, 1L);
    }
    return adapters;
  }

  private List<EngineCommand> submit(
      String adapter, long version, int outputTokens, long nowMillis) {
    lastPermitId++;
    return scheduler.submit(
        "h",
        new PermitRequest(
            lastPermitId,
            "r",
            "e",
            "m",
            adapter,
            version,
            500,
            outputTokens,
            1,
            1_000,
            5_000,
            Optional.empty(),
            Optional.empty()),
        nowMillis);
  }

  private static List<AdapterOrder> orders(List<EngineCommand> commands) {
    return commands.stream()
        .filter(EngineCommand.Order.class::isInstance)
        .map(command -> ((EngineCommand.Order) command).order())
        .toList();
  }

  private static Optional<PermitAnswer> answer(List<EngineCommand> commands) {
    return commands.stream()
        .filter(EngineCommand.Answer.class::isInstance)
        .map(command -> ((EngineCommand.Answer) command).answer())
        .findFirst();
  }

  /** Guards against a seventh adapter on six slots after a replacement was refused (review/6). */
  @Test
  public void refusedReplacementKeepsItsSlot() {
    submit("a1", 1, 500, 0);
    assertEquals(orders(submit("a1", 2, 50, 100)), List.of(REPLACEMENT));
    scheduler.recordOrder(REPLACEMENT, false, 10_200);
    List<AdapterOrder> next = orders(submit("a7", 1, 50, 10_300));
    assertEquals(next.size(), 1);
    assertFalse(next.get(0).load());
  }

  /** Guards against a seventh adapter after a replacement that the engine did not carry out. */
  @Test
  public void abandonedReplacementKeepsItsSlotAndCanBeOrderedAgain() {
    assertEquals(orders(submit("a1", 2, 50, 100)), List.of(REPLACEMENT));
    List<EngineCommand> commands =
        scheduler.recordAbandonedOrder(REPLACEMENT, OptionalLong.of(1), 500);
    assertEquals(orders(commands), List.of(REPLACEMENT));
    assertFalse(orders(submit("a7", 1, 50, 600)).get(0).load());
  }

  @Test
  public void slotOfAbandonedLoadIsFreeOnceTheEngineHoldsNothing() {
    scheduler.updateFromReport(true, Map.of(), Map.of(), 0);
    AdapterOrder load = orders(submit("x", 1, 50, 0)).get(0);
    assertEquals(
        orders(scheduler.recordAbandonedOrder(load, OptionalLong.empty(), 100)), List.of(load));
  }

  /** Guards against a wait until the target time behind a run that lasts for seconds. */
  @Test
  public void newVersionIsRefusedAtOnceWhileLongRunsLast() {
    submit("a1", 1, 500, 0);
    submit("a1", 2, 50, 100);
    PermitAnswer refusal = answer(submit("a1", 2, 50, 200)).orElseThrow();
    assertFalse(refusal.granted());
    assertEquals(refusal.reason(), "replacement-waits");
  }

  @Test
  public void newVersionWaitsForShortRuns() {
    submit("a1", 1, 20, 0);
    submit("a1", 2, 50, 50);
    assertTrue(answer(submit("a1", 2, 50, 60)).isEmpty());
    assertTrue(answer(scheduler.recordOrder(REPLACEMENT, true, 400)).orElseThrow().granted());
  }

  /** Guards against a slot that stays loading for as long as the next owner owns the engine. */
  @Test
  public void loadOfFormerOwnerEndsByReport() {
    Map<String, Long> five = sixAdapters();
    five.remove("a6");
    scheduler.updateFromReport(true, five, Map.of("a6", 1L), 0);
    assertTrue(scheduler.needsReport());
    scheduler.recordReport(five, Map.of("a6", 1L), 900, 1_000);
    assertTrue(scheduler.needsReport());
    scheduler.recordReport(sixAdapters(), Map.of(), 1_200, 1_300);
    assertFalse(scheduler.needsReport());
    assertTrue(answer(submit("a6", 1, 50, 1_400)).orElseThrow().granted());
  }

  @Test
  public void failedLoadOfFormerOwnerFreesItsSlotByNewReport() {
    Map<String, Long> five = sixAdapters();
    five.remove("a6");
    scheduler.updateFromReport(true, five, Map.of("a6", 1L), 1_000);
    scheduler.recordReport(five, Map.of(), 1_300, 1_310);
    assertTrue(scheduler.needsReport());
    scheduler.recordReport(five, Map.of(), 1_500, 1_510);
    assertFalse(scheduler.needsReport());
    assertTrue(orders(submit("a7", 1, 50, 1_600)).get(0).load());
  }
}
