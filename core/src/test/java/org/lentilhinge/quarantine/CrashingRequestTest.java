package org.lentilhinge.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which requests are refused as a whole because endpoints crash on them. */
public class CrashingRequestTest {

  private static final String FATAL = "d1";
  private static final String SOUND = "d2";

  private RequestQuarantine host;

  @BeforeMethod
  public void create() {
    host = new RequestQuarantine(new Random(1));
  }

  private static RequestRun run(String endpoint, String digest, long startedAtMillis) {
    return new RequestRun(endpoint, List.of(), digest, startedAtMillis);
  }

  private List<QuarantineChange> crash(String endpoint, String digest, long nowMillis) {
    return host.recordBroken(run(endpoint, digest, nowMillis - 80), nowMillis);
  }

  private boolean isRefused(String digest, long nowMillis) {
    return host.remainingMillis(List.of(), digest, nowMillis).isPresent();
  }

  private void crashThree() {
    crash("a/1", FATAL, 1_000);
    crash("b/1", FATAL, 1_500);
    crash("c/1", FATAL, 2_000);
  }

  // A request that crashes each back end came again under other ids and was sent on each time.
  @Test
  public void refusesRequestAfterThreeCrashes() {
    crash("a/1", FATAL, 1_000);
    assertFalse(host.isSuspected(FATAL));
    crash("b/1", FATAL, 1_500);
    assertTrue(host.isSuspected(FATAL));
    assertFalse(isRefused(FATAL, 1_600));
    QuarantineChange change = crash("c/1", FATAL, 2_000).get(0);
    assertEquals(change, new QuarantineChange(QuarantineChange.Cause.CRASHES, List.of(), FATAL, 3));
    assertTrue(isRefused(FATAL, 2_001));
    assertFalse(isRefused(SOUND, 2_001));
  }

  @Test
  public void retryThatCrashesTheNextEndpointAtOnceCounts() {
    host.recordBroken(run("a/1", FATAL, 900), 1_000);
    host.recordBroken(run("b/1", FATAL, 1_000), 1_050);
    host.recordBroken(run("c/1", FATAL, 1_050), 1_100);
    assertTrue(isRefused(FATAL, 1_101));
  }

  // Copies of one request were in flight on many endpoints of a rack that was lost.
  @Test
  public void lossOfManyEndpointsCountsOnce() {
    for (int endpoint = 0; endpoint < 12; endpoint++) {
      crash("e" + endpoint + "/1", SOUND, 1_000 + endpoint * 5L);
    }
    assertFalse(host.isSuspected(SOUND));
  }

  @Test
  public void completeResponseClearsRequest() {
    crash("a/1", SOUND, 1_000);
    crash("b/1", SOUND, 1_500);
    host.recordSurvived(run("c/1", SOUND, 1_550), 1_700);
    crash("d/1", SOUND, 2_000);
    assertFalse(isRefused(SOUND, 2_001));
    assertFalse(host.isSuspected(SOUND));
  }

  // A request of many callers was in flight at each crash that another request caused.
  @Test
  public void requestThatWasOnceAnsweredNeedsMoreCrashes() {
    host.recordSurvived(run("a/1", SOUND, 100), 200);
    crashThree();
    crash("a/1", SOUND, 1_000);
    crash("b/1", SOUND, 1_500);
    crash("c/1", SOUND, 2_000);
    assertTrue(isRefused(FATAL, 2_001));
    assertFalse(isRefused(SOUND, 2_001));
  }

  @Test
  public void hostThatKnowsCompleteResponseEndsQuarantineElsewhere() {
    RequestQuarantine other = new RequestQuarantine(new Random(2));
    other.recordSurvived(run("a/1", FATAL, 100), 200);
    crashThree();
    host.takeUnsent(2_000).forEach(observation -> other.receive(observation, 2_030));
    assertTrue(other.remainingMillis(List.of(), FATAL, 2_040).isEmpty());
    other.takeUnsent(2_040).forEach(observation -> host.receive(observation, 2_070));
    assertFalse(isRefused(FATAL, 2_080));
  }

  // Hosts that start later must know it before they send the request.
  @Test
  public void hostThatStartsLaterAdoptsQuarantine() {
    crashThree();
    host.takeUnsent(2_000);
    RequestQuarantine later = new RequestQuarantine(new Random(2));
    host.takeUnsent(5_000).forEach(observation -> later.receive(observation, 5_000));
    assertEquals(
        later.remainingMillis(List.of(), FATAL, 5_030),
        host.remainingMillis(List.of(), FATAL, 5_030));
  }

  // A cut connection is not a crash.
  @Test
  public void endpointThatRespondsOrIsListedHasNotCrashed() {
    crashThree();
    host.recordSurvived(new RequestRun("c/1", List.of(), "", 2_150), 2_300);
    assertFalse(isRefused(FATAL, 2_301));
    crash("d/1", FATAL, 3_000);
    assertTrue(isRefused(FATAL, 3_001));
    assertEquals(host.unconfirmedCrashes(7_600), Set.of("a/1", "b/1"));
    host.recordListed("a/1", false, 7_600);
    List<QuarantineChange> changes = host.recordListed("b/1", true, 7_600);
    assertEquals(changes.get(0).cause(), QuarantineChange.Cause.NO_CRASHES);
    assertFalse(isRefused(FATAL, 7_601));
    assertEquals(host.unconfirmedCrashes(7_600), Set.of());
  }

  // Hosts that had lost messages lifted quarantines which others had every reason to keep.
  @Test
  public void hostWithEnoughCrashesKeepsQuarantineThatAnotherLifts() {
    crashThree();
    host.takeUnsent(2_000);
    RequestObservation lifted =
        new RequestObservation(RequestObservation.Kind.LIFTED, "", List.of(), FATAL, 0, 0);
    host.receive(lifted, 2_500);
    assertTrue(isRefused(FATAL, 2_501));
    assertEquals(host.takeUnsent(2_500).get(0).kind(), RequestObservation.Kind.QUARANTINED);
  }

  @Test
  public void quarantineEnds() {
    crashThree();
    assertTrue(isRefused(FATAL, 601_999));
    assertFalse(isRefused(FATAL, 602_000));
    crash("e/1", FATAL, 602_100);
    assertTrue(isRefused(FATAL, 602_101));
  }
}
