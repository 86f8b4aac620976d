package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests which requests run, wait or are refused, and what an engine loads and unloads. */
public class EngineDeskTest {

  private static final int SEEDS = 500;
  private static final DeskSettings SETTINGS = new DeskSettings(64, 140_000, 6, 4, 300);

  private final EngineDesk desk = new EngineDesk(SETTINGS, "m", true, 22);
  private long number;

  /** Creates a scheduler that may send orders to its engine. */
  public EngineDeskTest() {
    desk.ordering(true);
  }

  private PermitAsk ask(String adapter) {
    return ask(adapter, 0);
  }

  private PermitAsk ask(String adapter, long version) {
    number++;
    return new PermitAsk(number, "r", "e", "m", adapter, version, 500, 50, 1, 1_000, 5_000);
  }

  private static List<AdapterOrder> orders(List<DeskCommand> commands) {
    List<AdapterOrder> orders = new ArrayList<>();
    for (DeskCommand command : commands) {
      if (command instanceof DeskCommand.Order order) {
        orders.add(order.order());
      }
    }
    return orders;
  }

  private static List<PermitAnswer> answers(List<DeskCommand> commands) {
    List<PermitAnswer> answers = new ArrayList<>();
    for (DeskCommand command : commands) {
      if (command instanceof DeskCommand.Answer answer) {
        answers.add(answer.answer());
      }
    }
    return answers;
  }

  private void fill(String... adapters) {
    Map<String, Long> loaded = new HashMap<>();
    for (String adapter : adapters) {
      loaded.put(adapter, 0L);
    }
    desk.reported(true, loaded, Map.of(), 0);
  }

  @Test
  public void residentAdapterRunsAtOnce() {
    EngineDeskTest fresh = new EngineDeskTest();
    fresh.fill("a");
    assertTrue(answers(fresh.desk.ask("h", fresh.ask("a"), 0)).get(0).granted());
  }

  @Test
  public void absentAdapterIsLoadedOnceForAllThatWait() {
    EngineDeskTest fresh = new EngineDeskTest();
    List<AdapterOrder> first = orders(fresh.desk.ask("h", fresh.ask("a"), 0));
    assertEquals(first, List.of(new AdapterOrder(true, "m", "a", 0)));
    assertTrue(fresh.desk.ask("h", fresh.ask("a"), 10).isEmpty());
    List<PermitAnswer> both = answers(fresh.desk.ordered(first.get(0), true, 250));
    assertEquals(both.size(), 2);
  }

  @Test
  public void leastAskedIdleAdapterMakesWay() {
    EngineDeskTest fresh = new EngineDeskTest();
    fresh.fill("a", "b", "c", "d", "e", "f");
    for (String adapter : List.of("a", "b", "c", "e", "f")) {
      PermitAsk request = fresh.ask(adapter);
      fresh.desk.ask("h", request, 0);
      fresh.desk.ended("h", new PermitEnd(request.ask(), PermitEnd.Ending.DONE, 0), 100);
    }
    List<AdapterOrder> orders = orders(fresh.desk.ask("h", fresh.ask("x"), 200));
    assertEquals(orders, List.of(new AdapterOrder(false, "m", "d", 0)));
    assertEquals(
        orders(fresh.desk.ordered(orders.get(0), true, 210)),
        List.of(new AdapterOrder(true, "m", "x", 0)));
  }

  @Test
  public void adapterInUseIsNeverUnloadedButClosedAndThenUnloaded() {
    EngineDeskTest fresh = new EngineDeskTest();
    String[] names = {"a", "b", "c", "d", "e", "f"};
    fresh.fill(names);
    List<PermitAsk> running = new ArrayList<>();
    for (String name : names) {
      running.add(fresh.ask(name));
      fresh.desk.ask("h", running.get(running.size() - 1), 0);
    }
    assertTrue(orders(fresh.desk.ask("h", fresh.ask("x"), 100)).isEmpty());
    assertTrue(orders(fresh.desk.decide(400)).isEmpty());
    List<AdapterOrder> orders = new ArrayList<>();
    for (PermitAsk request : running) {
      PermitEnd end = new PermitEnd(request.ask(), PermitEnd.Ending.DONE, 0);
      orders.addAll(orders(fresh.desk.ended("h", end, 500)));
    }
    assertEquals(orders.stream().filter(order -> !order.load()).count(), 1);
  }

  @Test
  public void announcedVersionIsLoadedBeforeNewRequestsRun() {
    EngineDeskTest fresh = new EngineDeskTest();
    fresh.fill("a");
    List<DeskCommand> commands = fresh.desk.ask("h", fresh.ask("a", 2), 0);
    assertEquals(orders(commands), List.of(new AdapterOrder(true, "m", "a", 2)));
    assertTrue(answers(commands).isEmpty());
  }

  @Test
  public void adapterOfAnotherVersionIsOrderedAnewAndKeepsItsSlot() {
    EngineDeskTest fresh = new EngineDeskTest();
    fresh.fill("a", "b", "c", "d", "e", "f");
    PermitAsk request = fresh.ask("a");
    fresh.desk.ask("h", request, 0);
    List<AdapterOrder> orders =
        orders(fresh.desk.ended("h", new PermitEnd(request.ask(), PermitEnd.Ending.ABSENT, 0), 5));
    assertEquals(orders, List.of(new AdapterOrder(true, "m", "a", 0)));
    assertEquals(fresh.desk.notice("e", true, 5).freeSlots(), 5);
  }

  @Test
  public void requestThatCannotBeOnTimeIsRefusedAtOnceWithOneWait() {
    EngineDeskTest fresh = new EngineDeskTest();
    String[] names = {"a", "b", "c", "d", "e", "f"};
    fresh.fill(names);
    for (String name : names) {
      fresh.desk.ask("h", fresh.ask(name), 0);
    }
    List<PermitAnswer> refused = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      refused.addAll(answers(fresh.desk.ask("h", fresh.ask("x" + index), 0)));
    }
    assertFalse(refused.isEmpty());
    assertTrue(refused.stream().noneMatch(PermitAnswer::granted));
    assertTrue(refused.get(0).retryMillis() > 0);
  }

  @Test
  public void deskThatMayNotOrderServesWhatIsThereAndRefusesTheRest() {
    EngineDeskTest fresh = new EngineDeskTest();
    fresh.desk.ordering(false);
    fresh.fill("a");
    assertTrue(answers(fresh.desk.ask("h", fresh.ask("a"), 0)).get(0).granted());
    List<DeskCommand> commands = fresh.desk.ask("h", fresh.ask("b"), 0);
    assertFalse(answers(commands).get(0).granted());
    assertTrue(orders(commands).isEmpty());
  }

  @Test
  public void engineThatIsNotReachedGetsNothingUntilItAnswers() {
    EngineDeskTest fresh = new EngineDeskTest();
    fresh.fill("a");
    PermitAsk request = fresh.ask("a");
    fresh.desk.ask("h", request, 0);
    fresh.desk.ask("h", fresh.ask("b"), 0);
    PermitEnd end = new PermitEnd(request.ask(), PermitEnd.Ending.UNREACHABLE, 0);
    List<PermitAnswer> refused = answers(fresh.desk.ended("h", end, 10));
    assertEquals(refused.size(), 1);
    assertFalse(answers(fresh.desk.ask("h", fresh.ask("a"), 20)).get(0).granted());
    fresh.desk.reachable();
    assertTrue(answers(fresh.desk.ask("h", fresh.ask("a"), 30)).get(0).granted());
  }

  @Test
  public void lostHostGivesItsPermitsBack() {
    EngineDeskTest fresh = new EngineDeskTest();
    fresh.fill("a");
    fresh.desk.ask("h", fresh.ask("a"), 0);
    assertTrue(fresh.desk.isBusy());
    fresh.desk.hostGone("h", 10);
    assertFalse(fresh.desk.isBusy());
  }

  /**
   * An engine that carries out orders at random times and fails the test if more adapters are
   * loaded than it has slots, which would exhaust the memory of a real engine.
   */
  private static final class StrictEngine {

    private final Map<String, Long> held = new HashMap<>();
    private final Set<AdapterOrder> open = new HashSet<>();

    void take(List<AdapterOrder> orders, int seed) {
      for (AdapterOrder order : orders) {
        open.add(order);
        if (order.load()) {
          held.put(order.adapter(), order.version());
          assertTrue(
              held.size() <= SETTINGS.adapterSlots(), "seed " + seed + ": too many adapters");
        }
      }
    }
  }

  @Test
  public void neverOrdersMoreThanFitsAndNeverUnloadsWhatRunsForManySeeds() {
    for (int seed = 0; seed < SEEDS; seed++) {
      check(seed);
    }
  }

  private static void check(int seed) {
    Random random = new Random(seed);
    EngineDeskTest fresh = new EngineDeskTest();
    StrictEngine engine = new StrictEngine();
    Map<Long, String> running = new HashMap<>();
    for (long now = 0; now < 20_000; now += 20) {
      List<DeskCommand> commands = new ArrayList<>();
      List<Long> granted = new ArrayList<>(running.keySet());
      int choice = random.nextInt(4);
      if (choice == 0) {
        String adapter = "a" + (int) Math.pow(random.nextInt(30), 0.8);
        PermitAsk request = fresh.ask(adapter);
        running.put(request.ask(), "?" + adapter);
        commands.addAll(fresh.desk.ask("h", request, now));
      } else if (choice == 1 && !granted.isEmpty()) {
        long permitId = granted.get(random.nextInt(granted.size()));
        running.remove(permitId);
        commands.addAll(
            fresh.desk.ended("h", new PermitEnd(permitId, PermitEnd.Ending.DONE, 0), now));
      } else if (choice == 2 && !engine.open.isEmpty()) {
        AdapterOrder order = engine.open.iterator().next();
        engine.open.remove(order);
        if (!order.load()) {
          engine.held.remove(order.adapter());
        }
        commands.addAll(fresh.desk.ordered(order, true, now));
      } else {
        commands.addAll(fresh.desk.decide(now));
      }
      for (PermitAnswer answer : answers(commands)) {
        String adapter = running.remove(answer.ask()).substring(1);
        if (answer.granted()) {
          running.put(answer.ask(), "!" + adapter);
        }
      }
      for (AdapterOrder order : orders(commands)) {
        boolean used = running.containsValue("!" + order.adapter());
        assertFalse(!order.load() && used, "seed " + seed + ": unloads an adapter in use");
      }
      engine.take(orders(commands), seed);
    }
  }

  @Test
  public void residentAdapterIsServedBeforeAnyHostHoldsTheEngine() {
    EngineDesk restarted = new EngineDesk(SETTINGS, "m", true, 22);
    restarted.awaitReport();
    restarted.orderingIn(3_400);
    assertTrue(restarted.ask("h", ask("a"), 0).isEmpty());
    assertTrue(restarted.ask("h", ask("b"), 0).isEmpty());
    restarted.reported(true, Map.of("a", 0L), Map.of(), 30);
    List<PermitAnswer> answers = answers(restarted.decide(30));
    assertEquals(answers.stream().filter(PermitAnswer::granted).count(), 1);
    PermitAnswer refused =
        answers.stream().filter(answer -> !answer.granted()).findFirst().orElseThrow();
    assertEquals(refused.reason(), "no-holder");
    assertEquals(refused.retryMillis(), 3_400);
  }

  @Test
  public void waitingRequestIsRefusedAtOnceWhenTheHoldIsLost() {
    EngineDeskTest fresh = new EngineDeskTest();
    assertTrue(answers(fresh.desk.ask("h", fresh.ask("a"), 0)).isEmpty());
    fresh.desk.reported(true, Map.of(), Map.of(), 10);
    fresh.desk.ordering(false);
    assertEquals(answers(fresh.desk.decide(20)).get(0).reason(), "no-holder");
  }

  @Test
  public void loadUnderWayPromisesNothingWithoutTheHold() {
    EngineDesk watching = new EngineDesk(SETTINGS, "m", true, 22);
    watching.reported(true, Map.of("old", 1L), Map.of("coming", 0L), 0);
    for (PermitAsk request : List.of(ask("coming"), ask("old", 2))) {
      assertEquals(answers(watching.ask("h", request, 0)).get(0).reason(), "no-holder");
    }
    assertTrue(answers(watching.ask("h", ask("old", 1), 0)).get(0).granted());
  }
}
