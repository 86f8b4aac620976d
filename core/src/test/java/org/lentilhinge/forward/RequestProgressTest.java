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
        new ForwardRoute("r", "h", "/", kind, 1_000, 200, 0, shares, attempts, resumable));
  }

  @Test
  public void unsafeRequestOfUnknownOutcomeIsNotRepeatedAndNotCalledUnrun() {
    RequestProgress progress = progress(RequestKind.UNSAFE, false, 3);
    progress.ended(AttemptOutcome.UNKNOWN);
    assertFalse(progress.mayTryAgain());
    assertFalse(progress.isCertainlyNotRun());
  }

  @Test
  public void refusedRequestMayGoOnWhateverItsKind() {
    RequestProgress progress = progress(RequestKind.UNSAFE, false, 1);
    progress.ended(AttemptOutcome.NOT_EXECUTED);
    assertTrue(progress.mayTryAgain());
    assertTrue(progress.isRetry());
    assertTrue(progress.isCertainlyNotRun());
  }

  @Test
  public void requestThatNeverLeftCostsNoRetry() {
    RequestProgress progress = progress(RequestKind.UNSAFE, false, 1);
    progress.ended(AttemptOutcome.NOT_SENT);
    assertTrue(progress.mayTryAgain());
    assertFalse(progress.isRetry());
  }

  @Test
  public void safeRequestRunsOnNoMoreEndpointsThanTheRouteAllows() {
    RequestProgress progress = progress(RequestKind.SAFE, false, 2);
    progress.ended(AttemptOutcome.UNKNOWN);
    assertTrue(progress.mayTryAgain());
    progress.ended(AttemptOutcome.UNKNOWN);
    assertFalse(progress.mayTryAgain());
  }

  @Test
  public void onlyResumableStreamsGoOnAfterTheyRan() {
    RequestProgress plain = progress(RequestKind.STREAM, false, 2);
    plain.ended(AttemptOutcome.UNKNOWN);
    assertFalse(plain.mayTryAgain());
    RequestProgress resumable = progress(RequestKind.STREAM, true, 2);
    resumable.ended(AttemptOutcome.UNKNOWN);
    assertTrue(resumable.mayTryAgain());
  }
}
