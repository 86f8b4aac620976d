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
public class ResponseStreamTest {

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

  private ResponseStream stream(RetryBudget budget) {
    ResponseStream stream =
        new ResponseStream(REQUEST, ADAPTER, LIMITS, budget, counters, DEADLINE_MILLIS);
    stream.start();
    stream.onEndpointChosen(FIRST, 0);
    return stream;
  }

  private ResponseStream stream() {
    return stream(new RetryBudget(0.1, 10));
  }

  private static ResponseChunk chunk(int attempt, int offset, String text, boolean last) {
    String name = new AttemptId(REQUEST, attempt).toString();
    return new ResponseChunk(name, ADAPTER.toString(), offset, 1, text, last);
  }

  private static AttemptError error(List<AttemptCommand> commands) {
    return ((AttemptCommand.FailResponse) commands.get(commands.size() - 1)).error();
  }

  @Test
  public void deliversCompleteResponse() {
    ResponseStream stream = stream();
    ResponseChunk first = chunk(1, 0, "a", false);
    ResponseChunk last = chunk(1, 1, "b", true);
    assertEquals(stream.onChunk(first, 1), List.of(new AttemptCommand.DeliverChunk(first)));
    assertEquals(
        stream.onChunk(last, 2),
        List.of(new AttemptCommand.DeliverChunk(last), new AttemptCommand.FinishResponse()));
    assertTrue(stream.isEnded());
  }

  @Test
  public void resumesStalledResponseOnAnotherEndpointAtDeliveredOffset() {
    ResponseStream stream = stream();
    stream.onChunk(chunk(1, 0, "a", false), 10);
    assertEquals(stream.checkTimeouts(209), List.of());
    assertEquals(
        stream.checkTimeouts(210),
        List.of(
            new AttemptCommand.CancelAttempt(new AttemptId(REQUEST, 1), FIRST, true),
            new AttemptCommand.ChooseEndpoint(ADAPTER, Set.of(FIRST))));
    assertEquals(
        stream.onEndpointChosen(SECOND, 211),
        List.of(
            new AttemptCommand.StartAttempt(new AttemptId(REQUEST, 2), SECOND, ADAPTER, 1, "a")));
    assertEquals(counters.resumed(), 1);
  }

  @Test
  public void dropsLateMisroutedAndDuplicatedChunks() {
    ResponseStream stream = stream();
    stream.onChunk(chunk(1, 0, "a", false), 1);
    assertEquals(stream.onChunk(chunk(1, 0, "a", false), 2), List.of());
    stream.onAttemptFailed(new AttemptId(REQUEST, 1), AttemptFailure.BROKEN, 3);
    stream.onEndpointChosen(SECOND, 4);
    assertEquals(stream.onChunk(chunk(1, 1, "late", true), 5), List.of());
    ResponseChunk other = new ResponseChunk("amber/5/99/1", ADAPTER.toString(), 1, 1, "x", true);
    assertEquals(stream.onChunk(other, 6), List.of());
    assertEquals(counters.duplicated(), 1);
    assertEquals(counters.late(), 1);
    assertEquals(counters.misrouted(), 1);
  }

  @Test
  public void neverDeliversAnotherAdapterVersion() {
    ResponseStream stream = stream();
    String name = new AttemptId(REQUEST, 1).toString();
    List<AttemptCommand> commands =
        stream.onChunk(new ResponseChunk(name, "lamps@2", 0, 1, "wrong", true), 1);
    assertEquals(
        commands,
        List.of(
            new AttemptCommand.CancelAttempt(new AttemptId(REQUEST, 1), FIRST, false),
            new AttemptCommand.ChooseEndpoint(ADAPTER, Set.of(FIRST))));
    assertEquals(counters.mismatched(), 1);
  }

  @Test
  public void doesNotSkipPartOfTheResponse() {
    ResponseStream stream = stream();
    List<AttemptCommand> commands = stream.onChunk(chunk(1, 2, "c", true), 1);
    assertTrue(commands.get(0) instanceof AttemptCommand.CancelAttempt, commands.toString());
  }

  @Test
  public void reportsNotRunOnlyIfNoAttemptCanHaveRun() {
    ResponseStream refused = stream();
    refused.onAttemptFailed(new AttemptId(REQUEST, 1), AttemptFailure.REFUSED, 1);
    assertEquals(
        error(refused.onNoEndpoint(700)),
        new AttemptError(
            AttemptError.Cause.NO_ENDPOINT, RunState.NOT_RUN, 0, OptionalLong.of(700)));
    ResponseStream broken = stream();
    broken.onAttemptFailed(new AttemptId(REQUEST, 1), AttemptFailure.BROKEN, 1);
    assertEquals(error(broken.onNoEndpoint(700)).state(), RunState.UNKNOWN);
  }

  @Test
  public void reportsFailureOfInterruptedResponseAtOnce() {
    ResponseStream stream = stream(new RetryBudget(0, 0));
    stream.onChunk(chunk(1, 0, "a", false), 1);
    AttemptError error =
        error(stream.onAttemptFailed(new AttemptId(REQUEST, 1), AttemptFailure.BROKEN, 2));
    assertEquals(error.cause(), AttemptError.Cause.RETRY_BUDGET_EXHAUSTED);
    assertEquals(error.state(), RunState.RAN);
    assertEquals(error.deliveredTokens(), 1);
    assertEquals(error.retryAfterMillis(), OptionalLong.of(LIMITS.retryAfterMillis()));
  }

  @Test
  public void failsAtTheDeadline() {
    ResponseStream stream = stream();
    List<AttemptCommand> commands = stream.checkTimeouts(DEADLINE_MILLIS);
    assertEquals(error(commands).cause(), AttemptError.Cause.DEADLINE);
    assertEquals(error(commands).state(), RunState.UNKNOWN);
    assertTrue(commands.get(0) instanceof AttemptCommand.CancelAttempt);
  }

  @Test
  public void failuresCannotMultiplyTheLoad() {
    RetryBudget budget = new RetryBudget(0.1, 10);
    int attempts = 0;
    for (int number = 0; number < 1_000; number++) {
      ResponseStream stream =
          new ResponseStream(REQUEST, ADAPTER, LIMITS, budget, counters, DEADLINE_MILLIS);
      stream.start();
      for (int attempt = 1; !stream.isEnded(); attempt++) {
        stream.onEndpointChosen(FIRST, 0);
        attempts++;
        stream.onAttemptFailed(new AttemptId(REQUEST, attempt), AttemptFailure.BROKEN, 1);
      }
    }
    assertTrue(attempts <= 1_000 + 10 + 100, attempts + " attempts for 1000 requests");
  }

  @Test
  public void completesResponseUnderRandomFailures() {
    for (long seed = 0; seed < 500; seed++) {
      runRandomly(new Random(seed), seed);
    }
  }

  private void runRandomly(Random random, long seed) {
    ResponseStream stream = stream(new RetryBudget(0, 1 + random.nextInt(3)));
    StringBuilder delivered = new StringBuilder();
    List<AttemptCommand> commands = new ArrayList<>();
    int attempt = 1;
    for (long nowMillis = 1; !stream.isEnded(); nowMillis += 10) {
      int offset = Math.max(0, delivered.length() - random.nextInt(2));
      int respondingAttempt = random.nextInt(5) == 0 ? Math.max(1, attempt - 1) : attempt;
      String letter = String.valueOf((char) ('a' + offset));
      List<AttemptCommand> next =
          random.nextInt(8) == 0
              ? stream.onAttemptFailed(
                  new AttemptId(REQUEST, attempt), AttemptFailure.BROKEN, nowMillis)
              : stream.onChunk(chunk(respondingAttempt, offset, letter, offset == 9), nowMillis);
      for (AttemptCommand command : next) {
        if (command instanceof AttemptCommand.DeliverChunk delivery) {
          delivered.append(delivery.chunk().text());
        } else if (command instanceof AttemptCommand.ChooseEndpoint) {
          attempt++;
          stream.onEndpointChosen(SECOND, nowMillis);
        }
      }
      commands.addAll(next);
    }
    boolean finished = commands.contains(new AttemptCommand.FinishResponse());
    String completeText = "abcdefghij";
    assertTrue(completeText.startsWith(delivered.toString()), "seed " + seed + ": " + delivered);
    assertEquals(finished, delivered.toString().equals(completeText), "seed " + seed);
  }
}
