package org.lentilhinge.permit;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that the prefill of prompts does not stall the running streams of an engine. */
public class PromptBacklogTest {

  private static final long LIMIT_MILLIS = 120;

  @Test
  public void admitsPromptsWhileTheBacklogStaysBelowTheLimit() {
    PromptBacklog backlog = new PromptBacklog(20);
    backlog.add(1_000, 0);
    assertTrue(backlog.admits(1_000, LIMIT_MILLIS, 0));
    backlog.add(1_000, 0);
    assertFalse(backlog.admits(1_000, LIMIT_MILLIS, 0));
    assertTrue(backlog.admits(1_000, LIMIT_MILLIS, 50));
  }

  @Test
  public void admitsLongPromptOnceNoOtherPrefillRemains() {
    PromptBacklog backlog = new PromptBacklog(20);
    backlog.add(1_000, 0);
    assertFalse(backlog.admits(20_000, LIMIT_MILLIS, 20));
    assertTrue(backlog.admits(20_000, LIMIT_MILLIS, 40));
  }

  @Test
  public void speedFollowsTheTimesToFirstEvents() {
    PromptBacklog backlog = new PromptBacklog(20);
    for (int index = 0; index < 300; index++) {
      backlog.correctSpeed(100, 400);
    }
    assertTrue(backlog.tokensPerMillisecond() < 5, "speed " + backlog.tokensPerMillisecond());
    for (int index = 0; index < 600; index++) {
      backlog.correctSpeed(100, 20);
    }
    assertTrue(backlog.tokensPerMillisecond() > 50, "speed " + backlog.tokensPerMillisecond());
  }
}
