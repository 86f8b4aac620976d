package org.lentilhinge.attempt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a caller receives its complete response, or an error that states what ran. */
public class AnswerStreamTest {

  private static final long DEADLINE_MILLIS = 60_000;
  private static final EndpointId FIRST = new EndpointId("first");
  private static final EndpointId SECOND = new EndpointId("second");
  private static final AdapterVersion ADAPTER = new AdapterVersion(new AdapterId("lamps"), 3);
  private static final RequestId REQUEST =
      new RequestId(new HostIncarnation(new HostId("amber"), 5), 9);
  private static final AttemptLimits LIMITS = new AttemptLimits(500, 200, 3, 1_000);

  private AttemptCounters counters;

  @BeforeMethod
  public void resetCounters() {
    counters = new AttemptCounters();
  }

  private AnswerStream stream(RetryBudget budget) {
    AnswerStream stream =
        new AnswerStream(REQUEST, ADAPTER, LIMITS, budget, counters, DEADLINE_MILLIS);
    stream.begin();
    stream.chosen(FIRST, 0);
    return stream;
  }

  private AnswerStream stream() {
    return stream(new RetryBudget(0.1, 10));
  }

  private static AnswerChunk chunk(int attempt, int offset, String text, boolean last) {
    String name = new AttemptId(REQUEST, attempt).toString();
    return new AnswerChunk(name, ADAPTER.toString(), offset, 1, text, last);
  }

  private static AttemptError error(List<AttemptCommand> commands) {
    return ((AttemptCommand.FailAnswer) commands.get(commands.size() - 1)).error();
  }

  @Test
  public void deliversTheWholeAnswer() {
    AnswerStream stream = stream();
    AnswerChunk first = chunk(1, 0, "a", false);
    AnswerChunk last = chunk(1, 1, "b", true);
    assertEquals(stream.received(first, 1), List.of(new AttemptCommand.DeliverChunk(first)));
    assertEquals(
        stream.received(last, 2),
        List.of(new AttemptCommand.DeliverChunk(last), new AttemptCommand.FinishAnswer()));
    assertTrue(stream.isEnded());
  }

  @Test
  public void resumesSilentAnswerElsewhereAtTheDeliveredOffset() {
    AnswerStream stream = stream();
    stream.received(chunk(1, 0, "a", false), 10);
    assertEquals(stream.tick(209), List.of());
    assertEquals(
        stream.tick(210),
        List.of(
            new AttemptCommand.CancelAttempt(new AttemptId(REQUEST, 1), FIRST, true),
            new AttemptCommand.ChooseEndpoint(ADAPTER, Set.of(FIRST))));
    assertEquals(
        stream.chosen(SECOND, 211),
        List.of(
            new AttemptCommand.StartAttempt(new AttemptId(REQUEST, 2), SECOND, ADAPTER, 1, "a")));
    assertEquals(counters.resumed(), 1);
  }

  @Test
  public void dropsLateAndCrossedAndDuplicatedChunks() {
    AnswerStream stream = stream();
    stream.received(chunk(1, 0, "a", false), 1);
    assertEquals(stream.received(chunk(1, 0, "a", false), 2), List.of());
    stream.failed(new AttemptId(REQUEST, 1), AttemptEnding.BROKEN, 3);
    stream.chosen(SECOND, 4);
    assertEquals(stream.received(chunk(1, 1, "late", true), 5), List.of());
    AnswerChunk other = new AnswerChunk("amber/5/99/1", ADAPTER.toString(), 1, 1, "x", true);
    assertEquals(stream.received(other, 6), List.of());
    assertEquals(counters.duplicated(), 1);
    assertEquals(counters.late(), 1);
    assertEquals(counters.crossed(), 1);
  }

  @Test
  public void neverDeliversAnotherAdapterVersion() {
    AnswerStream stream = stream();
    String name = new AttemptId(REQUEST, 1).toString();
    List<AttemptCommand> commands =
        stream.received(new AnswerChunk(name, "lamps@2", 0, 1, "wrong", true), 1);
    assertEquals(
        commands,
        List.of(
            new AttemptCommand.CancelAttempt(new AttemptId(REQUEST, 1), FIRST, false),
            new AttemptCommand.ChooseEndpoint(ADAPTER, Set.of(FIRST))));
    assertEquals(counters.mismatched(), 1);
  }

  @Test
  public void doesNotSkipPartOfTheAnswer() {
    AnswerStream stream = stream();
    List<AttemptCommand> commands = stream.received(chunk(1, 2, "c", true), 1);
    assertTrue(commands.get(0) instanceof AttemptCommand.CancelAttempt, commands.toString());
  }

  @Test
  public void saysNotRunOnlyIfNoAttemptCanHaveRun() {
    AnswerStream refused = stream();
    refused.failed(new AttemptId(REQUEST, 1), AttemptEnding.REFUSED, 1);
    assertEquals(
        error(refused.notChosen(700)),
        new AttemptError(
            AttemptError.Cause.NO_ENDPOINT, RunState.NOT_RUN, 0, OptionalLong.of(700)));
    AnswerStream broken = stream();
    broken.failed(new AttemptId(REQUEST, 1), AttemptEnding.BROKEN, 1);
    assertEquals(error(broken.notChosen(700)).state(), RunState.UNKNOWN);
  }

  @Test
  public void tellsTheCallerAtOnceThatCutAnswerFailed() {
    AnswerStream stream = stream(new RetryBudget(0, 0));
    stream.received(chunk(1, 0, "a", false), 1);
    AttemptError error = error(stream.failed(new AttemptId(REQUEST, 1), AttemptEnding.BROKEN, 2));
    assertEquals(error.cause(), AttemptError.Cause.RETRY_BUDGET_EXHAUSTED);
    assertEquals(error.state(), RunState.RAN);
    assertEquals(error.deliveredTokens(), 1);
    assertEquals(error.retryAfterMillis(), OptionalLong.of(LIMITS.retryAfterMillis()));
  }

  @Test
  public void givesUpAtTheDeadline() {
    AnswerStream stream = stream();
    List<AttemptCommand> commands = stream.tick(DEADLINE_MILLIS);
    assertEquals(error(commands).cause(), AttemptError.Cause.DEADLINE);
    assertEquals(error(commands).state(), RunState.UNKNOWN);
    assertTrue(commands.get(0) instanceof AttemptCommand.CancelAttempt);
  }

  @Test
  public void failuresCannotMultiplyTheLoad() {
    RetryBudget budget = new RetryBudget(0.1, 10);
    int attempts = 0;
    for (int number = 0; number < 1_000; number++) {
      AnswerStream stream =
          new AnswerStream(REQUEST, ADAPTER, LIMITS, budget, counters, DEADLINE_MILLIS);
      stream.begin();
      for (int attempt = 1; !stream.isEnded(); attempt++) {
        stream.chosen(FIRST, 0);
        attempts++;
        stream.failed(new AttemptId(REQUEST, attempt), AttemptEnding.BROKEN, 1);
      }
    }
    assertTrue(attempts <= 1_000 + 10 + 100, attempts + " attempts for 1000 requests");
  }

  @Test
  public void makesTheAnswerWholeUnderRandomFailures() {
    for (long seed = 0; seed < 500; seed++) {
      runRandomly(new Random(seed), seed);
    }
  }

  private void runRandomly(Random random, long seed) {
    AnswerStream stream = stream(new RetryBudget(0, 1 + random.nextInt(3)));
    StringBuilder caller = new StringBuilder();
    List<AttemptCommand> commands = new ArrayList<>();
    int attempt = 1;
    for (long now = 1; !stream.isEnded(); now += 10) {
      int offset = Math.max(0, caller.length() - random.nextInt(2));
      int answering = random.nextInt(5) == 0 ? Math.max(1, attempt - 1) : attempt;
      String letter = String.valueOf((char) ('a' + offset));
      List<AttemptCommand> next =
          random.nextInt(8) == 0
              ? stream.failed(new AttemptId(REQUEST, attempt), AttemptEnding.BROKEN, now)
              : stream.received(chunk(answering, offset, letter, offset == 9), now);
      for (AttemptCommand command : next) {
        if (command instanceof AttemptCommand.DeliverChunk delivery) {
          caller.append(delivery.chunk().text());
        } else if (command instanceof AttemptCommand.ChooseEndpoint) {
          attempt++;
          stream.chosen(SECOND, now);
        }
      }
      commands.addAll(next);
    }
    boolean finished = commands.contains(new AttemptCommand.FinishAnswer());
    String completeText = "abcdefghij";
    assertTrue(completeText.startsWith(caller.toString()), "seed " + seed + ": " + caller);
    assertEquals(finished, caller.toString().equals(completeText), "seed " + seed);
  }
}
