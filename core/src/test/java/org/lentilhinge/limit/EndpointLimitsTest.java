package org.lentilhinge.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests which limit of an endpoint a host knows, and what it announces. */
public class EndpointLimitsTest {

  private static final String ENDPOINT = "e/1";
  private static final RequestLimit TWO = RequestLimit.ofRate(2);
  private static final RequestLimit FIVE = RequestLimit.ofRate(5);

  private final EndpointLimits limits = new EndpointLimits();

  private static EndpointLimitsTest fresh() {
    return new EndpointLimitsTest();
  }

  private EndpointLimits.Update respond(RequestLimit stated, long sentAtMillis, long nowMillis) {
    return limits.recordResponse(ENDPOINT, stated, sentAtMillis, nowMillis);
  }

  private static EndpointLimits.Update update(boolean changed, boolean announced) {
    return new EndpointLimits.Update(changed, announced);
  }

  @Test
  public void endpointWithoutLimitIsNeverAnnounced() {
    EndpointLimitsTest test = fresh();
    assertEquals(test.respond(RequestLimit.UNLIMITED, 0, 10), update(false, false));
    assertFalse(test.limits.receive(new EndpointLimit(ENDPOINT, RequestLimit.UNLIMITED), 20));
  }

  @Test
  public void limitIsAnnouncedAtOnceAndThenEverySecond() {
    EndpointLimitsTest test = fresh();
    assertEquals(test.respond(TWO, 0, 10), update(true, true));
    assertEquals(test.respond(TWO, 20, 500), update(false, false));
    assertEquals(test.respond(TWO, 500, 1_010), update(false, true));
    assertEquals(test.limits.find(ENDPOINT), Optional.of(TWO));
  }

  @Test
  public void announcementOfAnotherHostIsNotRepeatedAtOnce() {
    EndpointLimitsTest test = fresh();
    assertTrue(test.limits.receive(new EndpointLimit(ENDPOINT, TWO), 0));
    assertEquals(test.respond(TWO, 100, 200), update(false, false));
  }

  // A response from before the limit must not lift it.
  @Test
  public void earlierRequestDoesNotLiftTheLimit() {
    EndpointLimitsTest test = fresh();
    test.respond(TWO, 50, 100);
    assertEquals(test.respond(RequestLimit.UNLIMITED, 90, 150), update(false, false));
    assertEquals(test.respond(FIVE, 90, 150), update(false, false));
    assertEquals(test.limits.find(ENDPOINT), Optional.of(TWO));
    assertEquals(test.respond(RequestLimit.UNLIMITED, 110, 200), update(true, true));
    assertEquals(test.limits.find(ENDPOINT), Optional.empty());
  }

  @Test
  public void earlierRequestLowersTheLimit() {
    EndpointLimitsTest test = fresh();
    test.respond(FIVE, 50, 100);
    assertEquals(test.respond(TWO, 90, 150), update(true, true));
  }

  // Hosts must not disagree for good if announcements of the limit and of its end cross.
  @Test
  public void endOfLimitIsAnnouncedAgain() {
    EndpointLimitsTest test = fresh();
    test.respond(TWO, 0, 10);
    test.respond(RequestLimit.UNLIMITED, 20, 30);
    assertEquals(test.respond(RequestLimit.UNLIMITED, 1_000, 1_030), update(false, true));
    assertTrue(test.limits.receive(new EndpointLimit(ENDPOINT, TWO), 1_040));
    assertEquals(test.respond(RequestLimit.UNLIMITED, 1_050, 1_060), update(true, true));
  }

  // A restarted endpoint has another incarnation and starts without a limit.
  @Test
  public void limitOfFormerIncarnationDoesNotApply() {
    EndpointLimitsTest test = fresh();
    test.respond(TWO, 0, 10);
    assertEquals(test.limits.find("e/2"), Optional.empty());
    assertTrue(test.limits.rate("e/2", 20).tryTake(20));
    test.limits.remove(ENDPOINT);
    assertEquals(test.limits.find(ENDPOINT), Optional.empty());
  }

  @Test
  public void startedPacerLearnsLimitFromPermitRequest() {
    EndpointLimitsTest test = fresh();
    assertTrue(test.limits.learn(ENDPOINT, TWO, 0));
    assertFalse(test.limits.rate(ENDPOINT, 10).tryTake(10));
    test.limits.receive(new EndpointLimit(ENDPOINT, RequestLimit.UNLIMITED), 20);
    assertFalse(test.limits.learn(ENDPOINT, TWO, 30));
    assertTrue(test.limits.rate(ENDPOINT, 40).tryTake(40));
  }

  @Test
  public void smallerPartOfTheHostsUsesItsShare() {
    EndpointLimitsTest test = fresh();
    test.respond(TWO, 0, 0);
    test.limits.setHosts(5, 8, 0);
    assertEquals(test.limits.rate(ENDPOINT, 0).waitMillis(0, 0), 500);
    test.limits.setHosts(4, 8, 0);
    assertEquals(test.limits.rate(ENDPOINT, 0).waitMillis(0, 0), 1_000);
    test.limits.setHosts(1, 8, 0);
    assertEquals(test.limits.rate(ENDPOINT, 0).waitMillis(0, 0), 4_000);
  }

  @Test
  public void refusedCallersAreToldToComeBackOneAfterTheOther() {
    EndpointLimitsTest test = fresh();
    test.respond(TWO, 0, 0);
    test.limits.recordExhausted(ENDPOINT, 300);
    assertEquals(test.limits.exhausted(299), Set.of(ENDPOINT));
    assertEquals(test.limits.retryMillis(ENDPOINT, 100), 400);
    assertEquals(test.limits.retryMillis(ENDPOINT, 100), 900);
    assertEquals(test.limits.retryMillis(ENDPOINT, 100), 1_400);
    assertEquals(test.limits.exhausted(300), Set.of());
  }

  // Guards against a brittle endpoint whose room stays unused until a pause ends.
  @Test
  public void endOfRequestEndsPauseOfBrittleEndpoint() {
    EndpointLimitsTest test = fresh();
    test.respond(new RequestLimit(Double.POSITIVE_INFINITY, 3), 0, 0);
    test.limits.recordExhausted(ENDPOINT, 300);
    test.limits.recordEnd(ENDPOINT, 100);
    assertEquals(test.limits.exhausted(100), Set.of());
  }

  @Test
  public void endOfRequestLeavesPauseOfPacedEndpoint() {
    EndpointLimitsTest test = fresh();
    test.respond(TWO, 0, 0);
    test.limits.recordExhausted(ENDPOINT, 300);
    test.limits.recordEnd(ENDPOINT, 100);
    assertEquals(test.limits.exhausted(100), Set.of(ENDPOINT));
  }
}
