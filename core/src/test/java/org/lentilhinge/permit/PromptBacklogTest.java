package org.lentilhinge.permit;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that the prefill of prompts does not stall the running streams of an engine. */
public class PromptBacklogTest {

  private static final long BOUND_MILLIS = 120;

  @Test
  public void promptsJoinWhileTheReadingBeforeThemStaysShort() {
    PromptBacklog backlog = new PromptBacklog(20);
    backlog.add(1_000, 0);
    assertTrue(backlog.takes(1_000, BOUND_MILLIS, 0));
    backlog.add(1_000, 0);
    assertFalse(backlog.takes(1_000, BOUND_MILLIS, 0));
    assertTrue(backlog.takes(1_000, BOUND_MILLIS, 50));
  }

  @Test
  public void longPromptWaitsUntilNothingElseIsReadAndThenJoins() {
    PromptBacklog backlog = new PromptBacklog(20);
    backlog.add(1_000, 0);
    assertFalse(backlog.takes(20_000, BOUND_MILLIS, 20));
    assertTrue(backlog.takes(20_000, BOUND_MILLIS, 40));
  }

  @Test
  public void speedFollowsWhatFirstEventsTook() {
    PromptBacklog backlog = new PromptBacklog(20);
    for (int index = 0; index < 300; index++) {
      backlog.observed(100, 400);
    }
    assertTrue(backlog.speed() < 5, "speed " + backlog.speed());
    for (int index = 0; index < 600; index++) {
      backlog.observed(100, 20);
    }
    assertTrue(backlog.speed() > 50, "speed " + backlog.speed());
  }
}
