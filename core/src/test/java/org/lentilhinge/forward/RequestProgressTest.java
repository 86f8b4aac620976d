package org.lentilhinge.forward;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests which requests may be repeated and which are reported as not run. */
public class RequestProgressTest {

  private static RequestProgress progress(RequestKind kind, boolean resumable, int attempts) {
    List<ServiceShare> shares = List.of(new ServiceShare("s", 1));
    return new RequestProgress(
        new ForwardRoute("r", "h", "/", kind, 1_000, 200, 0, shares, attempts, resumable, false));
  }

  @Test
  public void unsafeRequestOfUnknownOutcomeIsNotRepeatedAndNotReportedAsNotRun() {
    RequestProgress progress = progress(RequestKind.UNSAFE, false, 3);
    progress.recordOutcome(AttemptOutcome.UNKNOWN);
    assertFalse(progress.mayAttemptAgain());
    assertFalse(progress.isCertainlyNotRun());
  }

  @Test
  public void refusedRequestOfAnyKindMayBeSentAgain() {
    RequestProgress progress = progress(RequestKind.UNSAFE, false, 1);
    progress.recordOutcome(AttemptOutcome.NOT_EXECUTED);
    assertTrue(progress.mayAttemptAgain());
    assertTrue(progress.isRetry());
    assertTrue(progress.isCertainlyNotRun());
  }

  @Test
  public void requestThatWasNotSentUsesNoRetry() {
    RequestProgress progress = progress(RequestKind.UNSAFE, false, 1);
    progress.recordOutcome(AttemptOutcome.NOT_SENT);
    assertTrue(progress.mayAttemptAgain());
    assertFalse(progress.isRetry());
  }

  @Test
  public void safeRequestIsLimitedByMaximumAttempts() {
    RequestProgress progress = progress(RequestKind.SAFE, false, 2);
    progress.recordOutcome(AttemptOutcome.UNKNOWN);
    assertTrue(progress.mayAttemptAgain());
    progress.recordOutcome(AttemptOutcome.UNKNOWN);
    assertFalse(progress.mayAttemptAgain());
  }

  @Test
  public void onlyResumableStreamsMayRunAgain() {
    RequestProgress plain = progress(RequestKind.STREAM, false, 2);
    plain.recordOutcome(AttemptOutcome.UNKNOWN);
    assertFalse(plain.mayAttemptAgain());
    RequestProgress resumable = progress(RequestKind.STREAM, true, 2);
    resumable.recordOutcome(AttemptOutcome.UNKNOWN);
    assertTrue(resumable.mayAttemptAgain());
  }
}
