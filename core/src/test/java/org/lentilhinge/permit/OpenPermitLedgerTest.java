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
import org.lentilhinge.limit.RequestRate;
import org.testng.annotations.Test;

/** Tests that permits whose messages are lost are recovered, and that no others are. */
public class OpenPermitLedgerTest {

  private static final int SEEDS = 2_000;
  private static final long STEP_MILLIS = 20;

  /** The bound for the return of a slot: two statements and the way of a message. */
  private static final long RECOVERY_BOUND_MILLIS = 5_000;

  @Test
  public void statesOpenPermitsOnly() {
    OpenPermitLedger ledger = new OpenPermitLedger();
    ledger.open("h", 1, 10_000);
    ledger.open("h", 2, 10_000);
    ledger.open("i", 3, 10_000);
    ledger.close("h", 1);
    assertEquals(
        ledger.dueStatements(3, 10_000),
        Map.of("h", new OpenPermits(3, List.of(2L)), "i", new OpenPermits(3, List.of(3L))));
    assertEquals(ledger.dueStatements(3, 10_100), Map.of());
  }

  @Test
  public void statementsGoOnAfterTheLastPermitUntilTheHostEnds() {
    OpenPermitLedger ledger = new OpenPermitLedger();
    ledger.open("h", 1, 10_000);
    ledger.close("h", 1);
    assertEquals(ledger.dueStatements(1, 12_000).get("h"), new OpenPermits(1, List.of()));
    assertEquals(ledger.dueStatements(1, 40_000).get("h"), new OpenPermits(1, List.of()));
    ledger.removeHost("h");
    assertTrue(ledger.dueStatements(1, 80_000).isEmpty());
  }

  @Test
  public void longStatementCoversTheLowestIdsOnly() {
    OpenPermitLedger ledger = new OpenPermitLedger();
    for (long id = 1; id <= 5_000; id++) {
      ledger.open("h", id, 10_000);
    }
    OpenPermits open = ledger.dueStatements(5_000, 10_000).get("h");
    assertEquals(open.permitIds().size(), 4_096);
    assertFalse(open.excludes(4_097));
    assertFalse(open.excludes(1));
  }

  /** A host and the scheduler of an engine, with a link that loses what is in flight. */
  private static final class Simulation {

    private final Random random;
    private final OpenPermitLedger ledger = new OpenPermitLedger();
    private final EngineScheduler scheduler =
        new EngineScheduler(
            new SchedulerSettings(64, 140_000, 6, 4, 300), "m", true, 22, new RequestRate());
    private final Set<Long> awaited = new HashSet<>();
    private final Set<Long> held = new HashSet<>();
    private final Set<Long> permitted = new HashSet<>();
    private final Map<Long, List<Runnable>> inFlight = new TreeMap<>();
    private long lastPermitId;
    private long latestMillis;
    private long now = 10_000;

    Simulation(int seed) {
      random = new Random(seed);
      scheduler.setCanOrder(true);
      Map<String, Long> loaded = new HashMap<>();
      List.of("a", "b", "c", "d", "e", "f").forEach(name -> loaded.put(name, 0L));
      scheduler.updateFromReport(true, loaded, Map.of(), now);
    }

    /** Delivers messages in order, or loses them with the link. */
    private void send(Runnable delivery) {
      latestMillis = Math.max(latestMillis, now + random.nextInt(100));
      inFlight.computeIfAbsent(latestMillis, unused -> new ArrayList<>()).add(delivery);
    }

    private void deliver() {
      for (Long at : List.copyOf(inFlight.keySet())) {
        if (at <= now) {
          inFlight.remove(at).forEach(Runnable::run);
        }
      }
    }

    private void step(boolean disturbed) {
      now += STEP_MILLIS;
      deliver();
      if (disturbed && random.nextInt(3) == 0) {
        request();
      }
      if (!held.isEmpty() && (!disturbed || random.nextInt(4) == 0)) {
        release(held.iterator().next());
      }
      if (disturbed && random.nextInt(40) == 0) {
        resetLink();
      }
      ledger.dueStatements(lastPermitId, now).values().forEach(open -> send(() -> recover(open)));
      execute(scheduler.recoverPermits(EndedPermits.expired(), now).commands());
      execute(scheduler.decide(now));
    }

    private void request() {
      long id = ++lastPermitId;
      String adapter = String.valueOf((char) ('a' + random.nextInt(6)));
      PermitRequest request =
          new PermitRequest(
              id,
              "r",
              "e",
              "m",
              adapter,
              0,
              500,
              50,
              1,
              60_000,
              60_000,
              Optional.empty(),
              Optional.empty());
      ledger.open("h", id, now);
      awaited.add(id);
      send(() -> execute(scheduler.submit("h", request, now)));
    }

    private void release(long id) {
      held.remove(id);
      ledger.close("h", id);
      send(
          () -> {
            permitted.remove(id);
            execute(
                scheduler.release("h", new PermitReturn(id, PermitReturn.Outcome.DONE, 0), now));
          });
    }

    /** Loses what is in flight; the host gives up what it waits for. */
    private void resetLink() {
      inFlight.clear();
      awaited.forEach(id -> ledger.close("h", id));
      awaited.clear();
    }

    private void recover(OpenPermits open) {
      int before = permitted.size();
      permitted.removeIf(open::excludes);
      PermitRecovery recovery = scheduler.recoverPermits(EndedPermits.notStated("h", open), now);
      assertEquals(recovery.permits(), before - permitted.size());
      assertTrue(permitted.containsAll(held), "a permit was recovered that its host holds");
      execute(recovery.commands());
    }

    private void execute(List<EngineCommand> commands) {
      for (EngineCommand command : commands) {
        if (command instanceof EngineCommand.Answer answer) {
          if (answer.answer().granted()) {
            permitted.add(answer.answer().permitId());
          }
          send(() -> receive(answer.answer()));
        }
      }
    }

    private void receive(PermitAnswer answer) {
      boolean expected = awaited.remove(answer.permitId());
      if (!answer.granted()) {
        ledger.close("h", answer.permitId());
      } else if (expected) {
        held.add(answer.permitId());
      } else {
        release(answer.permitId());
      }
    }
  }

  @Test
  public void lostMessagesCostSecondsAndNoHeldPermitIsRecovered() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Simulation simulation = new Simulation(seed);
      for (int step = 0; step < 300; step++) {
        simulation.step(true);
      }
      for (long waited = 0; waited < RECOVERY_BOUND_MILLIS; waited += STEP_MILLIS) {
        simulation.step(false);
      }
      assertTrue(simulation.held.isEmpty(), "seed " + seed);
      assertFalse(simulation.scheduler.isBusy(), "seed " + seed + ": a slot is still in use");
    }
  }
}
