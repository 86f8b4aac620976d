package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.lentilhinge.limit.RequestRate;
import org.testng.annotations.Test;

/** Tests that requests without the standing of a customer are decided as in earlier builds. */
public class TargetOrderTest {

  private static final SchedulerSettings SETTINGS = new SchedulerSettings(12, 20_000, 6, 4, 120);
  private static final int SEEDS = 200;
  private static final int STEPS = 400;

  /** The decisions of earlier builds about requests for a resident adapter. */
  private static final class FormerScheduler {

    private final PromptBacklog backlog = new PromptBacklog(22);
    private final RunningRequests running = new RunningRequests();
    private final List<QueueEntry> queue = new ArrayList<>();

    private long waitMillis(long now) {
      int tokens = queue.stream().mapToInt(entry -> entry.request().promptTokens()).sum();
      long prefill = backlog.remainingMillis(now) + backlog.prefillMillis(tokens);
      return Math.max(0, prefill - SETTINGS.backlogMillis());
    }

    List<PermitAnswer> submit(PermitRequest request, long now) {
      long wait = waitMillis(now);
      long first = wait + backlog.prefillMillis(request.promptTokens()) + 60;
      long maximum = request.terms().map(PermitTerms::maximumWaitMillis).orElse(0L);
      boolean late = first > request.remainingTargetMillis() && wait > 300;
      if (late || maximum > 0 && wait > maximum) {
        return List.of(refusal(request, wait, "no-room"));
      }
      queue.add(new QueueEntry("h", request, now, QueueEntry.NO_SLOT));
      return decide(now);
    }

    List<PermitAnswer> release(PermitReturn returned, long now) {
      running
          .remove(QueueEntry.key("h", returned.permitId()))
          .ifPresent(
              run ->
                  backlog.correctSpeed(run.predictedPrefillMillis(), returned.firstEventMillis()));
      return decide(now);
    }

    List<PermitAnswer> decide(long now) {
      List<PermitAnswer> answers = new ArrayList<>();
      for (QueueEntry entry : List.copyOf(queue)) {
        if (entry.isOverdue(now)) {
          queue.remove(entry);
          answers.add(refusal(entry.request(), waitMillis(now), "waited-in-vain"));
        }
      }
      List<QueueEntry> sorted = new ArrayList<>(queue);
      sorted.sort(
          Comparator.<QueueEntry>comparingInt(entry -> entry.canMeetTarget(now) ? 0 : 1)
              .thenComparingLong(QueueEntry::targetAtMillis));
      for (QueueEntry entry : sorted) {
        PermitRequest request = entry.request();
        if (running.fits(request, SETTINGS)
            && backlog.admits(request.promptTokens(), SETTINGS.backlogMillis(), now)) {
          queue.remove(entry);
          long prefill = backlog.add(request.promptTokens(), now);
          running.add(new RunningRequests.Running("h", request, now, prefill));
          answers.add(new PermitAnswer(request.permitId(), true, 0, "resident"));
        }
      }
      return answers;
    }

    private static PermitAnswer refusal(PermitRequest request, long retry, String reason) {
      return new PermitAnswer(request.permitId(), false, Math.max(100, retry), reason);
    }
  }

  private static List<PermitAnswer> answers(List<EngineCommand> commands) {
    return commands.stream().map(command -> ((EngineCommand.Answer) command).answer()).toList();
  }

  private static PermitRequest randomRequest(long permitId, Random random) {
    Optional<PermitTerms> terms =
        random.nextInt(3) == 0
            ? Optional.of(
                new PermitTerms(Optional.empty(), random.nextInt(2) * 400L, random.nextBoolean()))
            : Optional.empty();
    return new PermitRequest(
        permitId,
        "r",
        "e",
        "m",
        "a",
        0,
        50 + random.nextInt(2_500),
        random.nextInt(300),
        random.nextInt(3),
        random.nextInt(1_500),
        random.nextInt(6_000),
        Optional.empty(),
        terms);
  }

  // Deployments without customers are served exactly as before.
  @Test
  public void decisionsWithoutStandingAreThoseOfEarlierBuilds() {
    Map<String, Integer> reasons = new HashMap<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      EngineScheduler scheduler = new EngineScheduler(SETTINGS, "m", true, 22, new RequestRate());
      scheduler.setCanOrder(true);
      scheduler.updateFromReport(true, Map.of("a", 0L), Map.of(), 0);
      FormerScheduler former = new FormerScheduler();
      List<Long> granted = new ArrayList<>();
      long now = 0;
      for (int step = 0; step < STEPS; step++) {
        now += random.nextInt(60);
        List<PermitAnswer> expected;
        List<EngineCommand> actual;
        if (random.nextInt(3) > 0) {
          PermitRequest request = randomRequest(step, random);
          expected = former.submit(request, now);
          actual = scheduler.submit("h", request, now);
        } else if (granted.isEmpty()) {
          expected = former.decide(now);
          actual = scheduler.decide(now);
        } else {
          long permitId = granted.remove(random.nextInt(granted.size()));
          PermitReturn returned =
              new PermitReturn(permitId, PermitReturn.Outcome.DONE, 1 + random.nextInt(400));
          expected = former.release(returned, now);
          actual = scheduler.release("h", returned, now);
        }
        assertEquals(answers(actual), expected, "seed " + seed + ", step " + step);
        for (PermitAnswer answer : expected) {
          reasons.merge(answer.reason(), 1, Integer::sum);
          if (answer.granted()) {
            granted.add(answer.permitId());
          }
        }
      }
    }
    assertEquals(reasons.size(), 3, "reasons that occurred: " + reasons);
  }
}
