package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.limit.RequestRate;
import org.testng.annotations.Test;

/** Tests that the token counts that callers state cannot block an engine. */
public class LargeRequestTest {

  private static final int WHOLE_MEMORY_TOKENS = 131_175;
  private static final int LARGEST_COUNT = 999_999_999;

  private static EngineScheduler scheduler() {
    SchedulerSettings settings =
        new SchedulerSettings(64, (int) (WHOLE_MEMORY_TOKENS * 0.9), 6, 4, 120);
    return new EngineScheduler(settings, "m", true, 20, new RequestRate());
  }

  private static PermitRequest request(long permitId, int promptTokens, int outputTokens) {
    return new PermitRequest(
        permitId,
        "r",
        "e",
        "m",
        "",
        0,
        promptTokens,
        outputTokens,
        0,
        1_005,
        6_000,
        Optional.empty(),
        Optional.empty());
  }

  private static PermitAnswer submit(EngineScheduler scheduler, PermitRequest request) {
    List<EngineCommand> commands = scheduler.submit("h", request, 0);
    return ((EngineCommand.Answer) commands.get(0)).answer();
  }

  // The first request always fits; its stated prefill then blocked the engine for hours.
  @Test
  public void requestLargerThanTheWholeMemoryIsRefusedAndBlocksNothing() {
    EngineScheduler scheduler = scheduler();
    PermitAnswer answer = submit(scheduler, request(1, LARGEST_COUNT, LARGEST_COUNT));
    assertEquals(answer, new PermitAnswer(1, false, 100, "too-large"));
    assertEquals(submit(scheduler, request(2, LARGEST_COUNT, 0)).reason(), "too-large");
    assertEquals(submit(scheduler, request(3, 1, WHOLE_MEMORY_TOKENS)).reason(), "too-large");
    assertTrue(submit(scheduler, request(4, 500, 50)).granted());
  }

  @Test
  public void requestOfTheWholeMemoryRunsAlone() {
    assertTrue(submit(scheduler(), request(1, 1_000, WHOLE_MEMORY_TOKENS - 1_000)).granted());
  }

  // Sums that overflowed were negative, so that any number of requests fitted.
  @Test
  public void sumsOfLargeCountsDoNotOverflow() {
    SchedulerSettings settings = new SchedulerSettings(64, Integer.MAX_VALUE, 6, 4, 120);
    RunningRequests running = new RunningRequests();
    RequestQueue queue = new RequestQueue();
    for (int id = 1; id <= 3; id++) {
      PermitRequest request = request(id, LARGEST_COUNT, LARGEST_COUNT);
      running.add(new RunningRequests.Running("h", request, 0, 0));
      queue.add(new QueueEntry("h", request, 0, QueueEntry.NO_SLOT));
    }
    assertFalse(running.fits(request(4, LARGEST_COUNT, LARGEST_COUNT), settings));
    assertEquals(queue.promptTokens(), 3L * LARGEST_COUNT);
  }
}
