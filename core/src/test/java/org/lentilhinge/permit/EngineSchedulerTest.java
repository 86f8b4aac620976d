package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.limit.RequestLimit;
import org.lentilhinge.limit.RequestRate;
import org.testng.annotations.Test;

/** Tests which requests run, wait or are refused, and which adapters are loaded and unloaded. */
public class EngineSchedulerTest {

  private static final int SEEDS = 500;
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(64, 140_000, 6, 4, 300);

  private final RequestRate rate = new RequestRate();
  private final EngineScheduler scheduler = new EngineScheduler(SETTINGS, "m", true, 22, rate);
  private long lastPermitId;

  /** Creates a scheduler that may send orders to its engine. */
  public EngineSchedulerTest() {
    scheduler.setCanOrder(true);
  }

  private PermitRequest request(String adapter) {
    return request(adapter, 0);
  }

  private PermitRequest request(String adapter, long version) {
    lastPermitId++;
    return new PermitRequest(
        lastPermitId,
        "r",
        "e",
        "m",
        adapter,
        version,
        500,
        50,
        1,
        1_000,
        5_000,
        Optional.empty(),
        Optional.empty());
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

  private static List<PermitAnswer> answers(List<EngineCommand> commands) {
    List<PermitAnswer> answers = new ArrayList<>();
    for (EngineCommand command : commands) {
      if (command instanceof EngineCommand.Answer answer) {
        answers.add(answer.answer());
      }
    }
    return answers;
  }

  private void reportLoaded(String... adapters) {
    Map<String, Long> loaded = new HashMap<>();
    for (String adapter : adapters) {
      loaded.put(adapter, 0L);
    }
    scheduler.updateFromReport(true, loaded, Map.of(), 0);
  }

  @Test
  public void residentAdapterRunsAtOnce() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    fresh.reportLoaded("a");
    assertTrue(answers(fresh.scheduler.submit("h", fresh.request("a"), 0)).get(0).granted());
  }

  @Test
  public void absentAdapterIsLoadedOnceForAllThatWait() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    List<AdapterOrder> first = orders(fresh.scheduler.submit("h", fresh.request("a"), 0));
    assertEquals(first, List.of(new AdapterOrder(true, "m", "a", 0)));
    assertTrue(fresh.scheduler.submit("h", fresh.request("a"), 10).isEmpty());
    List<PermitAnswer> answers = answers(fresh.scheduler.recordOrder(first.get(0), true, 250));
    assertEquals(answers.size(), 2);
  }

  @Test
  public void leastRequestedIdleAdapterIsEvicted() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    fresh.reportLoaded("a", "b", "c", "d", "e", "f");
    for (String adapter : List.of("a", "b", "c", "e", "f")) {
      PermitRequest request = fresh.request(adapter);
      fresh.scheduler.submit("h", request, 0);
      fresh.scheduler.release(
          "h", new PermitReturn(request.permitId(), PermitReturn.Outcome.DONE, 0), 100);
    }
    List<AdapterOrder> orders = orders(fresh.scheduler.submit("h", fresh.request("x"), 200));
    assertEquals(orders, List.of(new AdapterOrder(false, "m", "d", 0)));
    assertEquals(
        orders(fresh.scheduler.recordOrder(orders.get(0), true, 210)),
        List.of(new AdapterOrder(true, "m", "x", 0)));
  }

  @Test
  public void adapterInUseIsDrainedBeforeItIsUnloaded() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    String[] names = {"a", "b", "c", "d", "e", "f"};
    fresh.reportLoaded(names);
    List<PermitRequest> running = new ArrayList<>();
    for (String name : names) {
      running.add(fresh.request(name));
      fresh.scheduler.submit("h", running.get(running.size() - 1), 0);
    }
    assertTrue(orders(fresh.scheduler.submit("h", fresh.request("x"), 100)).isEmpty());
    assertTrue(orders(fresh.scheduler.decide(400)).isEmpty());
    List<AdapterOrder> orders = new ArrayList<>();
    for (PermitRequest request : running) {
      PermitReturn permitReturn =
          new PermitReturn(request.permitId(), PermitReturn.Outcome.DONE, 0);
      orders.addAll(orders(fresh.scheduler.release("h", permitReturn, 500)));
    }
    assertEquals(orders.stream().filter(order -> !order.load()).count(), 1);
  }

  @Test
  public void announcedVersionIsLoadedBeforeNewRequestsRun() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    fresh.reportLoaded("a");
    List<EngineCommand> commands = fresh.scheduler.submit("h", fresh.request("a", 2), 0);
    assertEquals(orders(commands), List.of(new AdapterOrder(true, "m", "a", 2)));
    assertTrue(answers(commands).isEmpty());
  }

  @Test
  public void absentAdapterIsReloadedAndKeepsItsSlot() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    fresh.reportLoaded("a", "b", "c", "d", "e", "f");
    PermitRequest request = fresh.request("a");
    fresh.scheduler.submit("h", request, 0);
    List<AdapterOrder> orders =
        orders(
            fresh.scheduler.release(
                "h", new PermitReturn(request.permitId(), PermitReturn.Outcome.ABSENT, 0), 5));
    assertEquals(orders, List.of(new AdapterOrder(true, "m", "a", 0)));
    assertEquals(fresh.scheduler.status("e", true, 5).availableSlots(), 5);
  }

  @Test
  public void requestThatCannotBeOnTimeIsRefusedAtOnceWithRetryTime() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    String[] names = {"a", "b", "c", "d", "e", "f"};
    fresh.reportLoaded(names);
    for (String name : names) {
      fresh.scheduler.submit("h", fresh.request(name), 0);
    }
    List<PermitAnswer> refused = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      refused.addAll(answers(fresh.scheduler.submit("h", fresh.request("x" + index), 0)));
    }
    assertFalse(refused.isEmpty());
    assertTrue(refused.stream().noneMatch(PermitAnswer::granted));
    assertTrue(refused.get(0).retryAfterMillis() > 0);
  }

  @Test
  public void schedulerThatCannotOrderServesResidentAdaptersOnly() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    fresh.scheduler.setCanOrder(false);
    fresh.reportLoaded("a");
    assertTrue(answers(fresh.scheduler.submit("h", fresh.request("a"), 0)).get(0).granted());
    List<EngineCommand> commands = fresh.scheduler.submit("h", fresh.request("b"), 0);
    assertFalse(answers(commands).get(0).granted());
    assertTrue(orders(commands).isEmpty());
  }

  @Test
  public void unreachableEngineGetsNoRequestsUntilItAnswers() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    fresh.reportLoaded("a");
    PermitRequest request = fresh.request("a");
    fresh.scheduler.submit("h", request, 0);
    fresh.scheduler.submit("h", fresh.request("b"), 0);
    PermitReturn permitReturn =
        new PermitReturn(request.permitId(), PermitReturn.Outcome.UNREACHABLE, 0);
    List<EngineCommand> released = fresh.scheduler.release("h", permitReturn, 10);
    assertTrue(released.contains(new EngineCommand.CheckReachable()));
    List<PermitAnswer> refused = answers(fresh.scheduler.markUnreachable(10));
    assertEquals(refused.size(), 1);
    assertFalse(answers(fresh.scheduler.submit("h", fresh.request("a"), 20)).get(0).granted());
    fresh.scheduler.markReachable();
    assertTrue(answers(fresh.scheduler.submit("h", fresh.request("a"), 30)).get(0).granted());
  }

  @Test
  public void permitsOfRemovedHostAreReleased() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    fresh.reportLoaded("a");
    fresh.scheduler.submit("h", fresh.request("a"), 0);
    assertTrue(fresh.scheduler.isBusy());
    fresh.scheduler.recoverPermits(EndedPermits.ofHost("h"), 10);
    assertFalse(fresh.scheduler.isBusy());
  }

  /**
   * An engine that carries out orders at random times and fails the test if more adapters are
   * loaded than it has slots, which would exhaust the memory of a real engine.
   */
  private static final class StrictEngine {

    private final Map<String, Long> loaded = new HashMap<>();
    private final Set<AdapterOrder> pending = new HashSet<>();

    void accept(List<AdapterOrder> orders, int seed) {
      for (AdapterOrder order : orders) {
        pending.add(order);
        if (order.load()) {
          loaded.put(order.adapter(), order.version());
          assertTrue(
              loaded.size() <= SETTINGS.adapterSlots(), "seed " + seed + ": too many adapters");
        }
      }
    }
  }

  @Test
  public void neverLoadsMoreThanFitsAndNeverUnloadsAdaptersInUse() {
    for (int seed = 0; seed < SEEDS; seed++) {
      check(seed);
    }
  }

  private static void check(int seed) {
    Random random = new Random(seed);
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    StrictEngine engine = new StrictEngine();
    Map<Long, String> running = new HashMap<>();
    for (long nowMillis = 0; nowMillis < 20_000; nowMillis += 20) {
      List<EngineCommand> commands = new ArrayList<>();
      List<Long> granted = new ArrayList<>(running.keySet());
      int choice = random.nextInt(4);
      if (choice == 0) {
        String adapter = "a" + (int) Math.pow(random.nextInt(30), 0.8);
        PermitRequest request = fresh.request(adapter);
        running.put(request.permitId(), "?" + adapter);
        commands.addAll(fresh.scheduler.submit("h", request, nowMillis));
      } else if (choice == 1 && !granted.isEmpty()) {
        long permitId = granted.get(random.nextInt(granted.size()));
        running.remove(permitId);
        commands.addAll(
            fresh.scheduler.release(
                "h", new PermitReturn(permitId, PermitReturn.Outcome.DONE, 0), nowMillis));
      } else if (choice == 2 && !engine.pending.isEmpty()) {
        AdapterOrder order = engine.pending.iterator().next();
        engine.pending.remove(order);
        if (!order.load()) {
          engine.loaded.remove(order.adapter());
        }
        commands.addAll(fresh.scheduler.recordOrder(order, true, nowMillis));
      } else {
        commands.addAll(fresh.scheduler.decide(nowMillis));
      }
      for (PermitAnswer answer : answers(commands)) {
        String adapter = running.remove(answer.permitId()).substring(1);
        if (answer.granted()) {
          running.put(answer.permitId(), "!" + adapter);
        }
      }
      for (AdapterOrder order : orders(commands)) {
        boolean used = running.containsValue("!" + order.adapter());
        assertFalse(!order.load() && used, "seed " + seed + ": unloads an adapter in use");
      }
      engine.accept(orders(commands), seed);
    }
  }

  @Test
  public void residentAdapterIsServedBeforeAnyHostOwnsTheEngine() {
    EngineScheduler restarted = new EngineScheduler(SETTINGS, "m", true, 22, new RequestRate());
    restarted.awaitReport();
    restarted.setCanOrderIn(3_400);
    assertTrue(restarted.submit("h", request("a"), 0).isEmpty());
    assertTrue(restarted.submit("h", request("b"), 0).isEmpty());
    restarted.updateFromReport(true, Map.of("a", 0L), Map.of(), 30);
    List<PermitAnswer> answers = answers(restarted.decide(30));
    assertEquals(answers.stream().filter(PermitAnswer::granted).count(), 1);
    PermitAnswer refused =
        answers.stream().filter(answer -> !answer.granted()).findFirst().orElseThrow();
    assertEquals(refused.reason(), "no-holder");
    assertEquals(refused.retryAfterMillis(), 3_400);
  }

  @Test
  public void waitingRequestIsRefusedAtOnceWhenOwnershipIsLost() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    assertTrue(answers(fresh.scheduler.submit("h", fresh.request("a"), 0)).isEmpty());
    fresh.scheduler.updateFromReport(true, Map.of(), Map.of(), 10);
    fresh.scheduler.setCanOrder(false);
    assertEquals(answers(fresh.scheduler.decide(20)).get(0).reason(), "no-holder");
  }

  @Test
  public void loadingAdapterIsNotAwaitedWithoutOwnership() {
    EngineScheduler observer = new EngineScheduler(SETTINGS, "m", true, 22, new RequestRate());
    observer.updateFromReport(true, Map.of("old", 1L), Map.of("coming", 0L), 0);
    for (PermitRequest request : List.of(request("coming"), request("old", 2))) {
      assertEquals(answers(observer.submit("h", request, 0)).get(0).reason(), "no-holder");
    }
    assertTrue(answers(observer.submit("h", request("old", 1), 0)).get(0).granted());
  }

  // An engine that had named a limit got every request that its slots and memory allowed.
  @Test
  public void limitedEngineIsPacedAndRefusesTheRestAtOnce() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    fresh.reportLoaded("a");
    fresh.rate.setLimit(RequestLimit.ofRate(2), 0);
    PermitAnswer refused = answers(fresh.scheduler.submit("h", fresh.request("a"), 0)).get(0);
    assertFalse(refused.granted());
    assertEquals(refused.reason(), "endpoint-limit");
    assertEquals(refused.retryAfterMillis(), 500);
    int granted = 0;
    for (long now = 0; now < 4_000; now += 50) {
      for (PermitAnswer answer : answers(fresh.scheduler.submit("h", fresh.request("a"), now))) {
        granted += answer.granted() ? 1 : 0;
      }
      granted +=
          answers(fresh.scheduler.decide(now + 25)).stream().filter(PermitAnswer::granted).count();
    }
    assertTrue(granted >= 7 && granted <= 8, "granted " + granted);
    assertTrue(fresh.scheduler.status("e", true, 4_000).backlogMillis() > 0);
  }

  @Test
  public void requestsThatWaitWhenTheLimitComesAreRefusedAtOnce() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    for (int count = 0; count < 3; count++) {
      assertTrue(answers(fresh.scheduler.submit("h", fresh.request("a"), 0)).isEmpty());
    }
    fresh.rate.setLimit(RequestLimit.ofRate(2), 10);
    List<PermitAnswer> refused = answers(fresh.scheduler.decide(20));
    assertEquals(refused.size(), 3);
    assertTrue(refused.stream().noneMatch(PermitAnswer::granted));
  }

  // An engine got two thirds of its limit, because a turn was lost while a request for it waited.
  @Test
  public void limitIsUsedInFullWhileAdaptersLoad() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    fresh.reportLoaded();
    fresh.rate.setLimit(RequestLimit.ofRate(2), 0);
    Map<Long, List<AdapterOrder>> orders = new TreeMap<>();
    int granted = 0;
    for (long now = 0; now <= 20_000; now += 20) {
      List<EngineCommand> commands = new ArrayList<>();
      for (AdapterOrder order : orders.getOrDefault(now, List.of())) {
        commands.addAll(fresh.scheduler.recordOrder(order, true, now));
      }
      PermitRequest request = fresh.request("a" + now);
      commands.addAll(fresh.scheduler.submit("h", request, now));
      commands.addAll(fresh.scheduler.decide(now));
      long doneAtMillis = now + 300;
      orders(commands)
          .forEach(
              order ->
                  orders.computeIfAbsent(doneAtMillis, unused -> new ArrayList<>()).add(order));
      for (PermitAnswer answer : answers(commands)) {
        if (answer.granted()) {
          granted++;
          PermitReturn ended = new PermitReturn(answer.permitId(), PermitReturn.Outcome.DONE, 0);
          commands.addAll(fresh.scheduler.release("h", ended, now));
        }
      }
    }
    assertTrue(granted >= 36 && granted <= 40, "granted " + granted);
  }

  private static final List<String> SIX = List.of("a", "b", "c", "d", "e", "f");

  /** Has all six adapters run for a host, and then a seventh one be asked for. */
  private static EngineSchedulerTest withAllSlotsInUse() {
    EngineSchedulerTest fresh = new EngineSchedulerTest();
    fresh.reportLoaded(SIX.toArray(new String[0]));
    for (String adapter : SIX) {
      fresh.scheduler.submit("h", fresh.request(adapter), 0);
    }
    assertEquals(orders(fresh.scheduler.submit("i", fresh.request("x"), 100)), List.of());
    return fresh;
  }

  // A return that was lost with its link kept an adapter slot occupied until its host was lost.
  @Test
  public void permitThatItsHostDoesNotStateIsRecovered() {
    EngineSchedulerTest fresh = withAllSlotsInUse();
    OpenPermits open = new OpenPermits(6, List.of(1L, 2L, 3L, 4L, 5L));
    PermitRecovery recovery =
        fresh.scheduler.recoverPermits(EndedPermits.notStated("h", open), 200);
    assertEquals(recovery.permits(), 1);
    assertEquals(orders(recovery.commands()), List.of(new AdapterOrder(false, "m", "f", 0)));
  }

  @Test
  public void permitsThatAreStatedOrNewerOrOfOtherHostsStay() {
    EngineSchedulerTest fresh = withAllSlotsInUse();
    OpenPermits open = new OpenPermits(5, List.of(1L, 2L, 3L, 4L, 5L));
    assertEquals(
        fresh.scheduler.recoverPermits(EndedPermits.notStated("h", open), 200).permits(), 0);
    OpenPermits none = new OpenPermits(100, List.of());
    assertEquals(
        fresh.scheduler.recoverPermits(EndedPermits.notStated("j", none), 200).permits(), 0);
  }

  @Test
  public void permitIsRecoveredAfterTheDeadlineOfItsRequest() {
    EngineSchedulerTest fresh = withAllSlotsInUse();
    assertEquals(fresh.scheduler.recoverPermits(EndedPermits.expired(), 6_000).permits(), 0);
    assertEquals(fresh.scheduler.recoverPermits(EndedPermits.expired(), 7_001).permits(), 6);
  }
}
