package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a round of queries grants an ownership only with the word of all other live hosts. */
public class OwnershipRoundTest {

  private static final List<String> HOSTS = List.of("a", "b");

  private OwnershipRound round;

  /** Creates a host without rounds. */
  @BeforeMethod
  public void createRound() {
    round = new OwnershipRound(7);
  }

  // A host without a claim in hand took an engine over beside its owner.
  @Test
  public void nothingHeardGrantsNothing() {
    assertFalse(round.isGranted(HOSTS, 0));
    assertEquals(round.selectHosts(HOSTS, 0), HOSTS);
    assertFalse(round.isGranted(HOSTS, 100));
    round.recordConsent("a", round.number());
    assertFalse(round.isGranted(HOSTS, 100));
    round.recordConsent("b", round.number());
    assertTrue(round.isGranted(HOSTS, 100));
  }

  @Test
  public void hostThatJoinsIsAskedAsWell() {
    round.selectHosts(List.of("a"), 0);
    round.recordConsent("a", round.number());
    assertTrue(round.isGranted(List.of("a"), 100));
    assertFalse(round.isGranted(HOSTS, 100));
    assertEquals(round.selectHosts(HOSTS, 100), List.of("b"));
  }

  @Test
  public void unansweredQueryIsRepeated() {
    round.selectHosts(HOSTS, 0);
    round.recordConsent("a", round.number());
    assertEquals(round.selectHosts(HOSTS, 900), List.of());
    assertEquals(round.selectHosts(HOSTS, 1_100), List.of("b"));
  }

  @Test
  public void consentEnds() {
    round.selectHosts(List.of("a"), 0);
    round.recordConsent("a", round.number());
    assertTrue(round.isGranted(List.of("a"), 5_000));
    assertFalse(round.isGranted(List.of("a"), 5_001));
    long former = round.number();
    assertEquals(round.selectHosts(List.of("a"), 5_001), List.of("a"));
    round.recordConsent("a", former);
    assertFalse(round.isGranted(List.of("a"), 5_100));
  }

  @Test
  public void objectionEndsTheRoundForTheTimeThatItStates() {
    round.selectHosts(HOSTS, 0);
    round.recordConsent("a", round.number());
    assertTrue(round.recordObjection(round.number(), 2_000, 100));
    round.recordConsent("b", round.number());
    assertFalse(round.isGranted(HOSTS, 100));
    assertEquals(round.remainingMillis(100), 2_000);
    assertEquals(round.selectHosts(HOSTS, 2_099), List.of());
    assertEquals(round.selectHosts(HOSTS, 2_100), HOSTS);
  }

  @Test
  public void objectionToFormerRoundIsIgnored() {
    round.selectHosts(HOSTS, 0);
    assertFalse(round.recordObjection(round.number() - 1, 2_000, 100));
    assertTrue(round.isCompeting(100));
  }

  // A host that could not reach one other host kept all hosts from an engine.
  @Test
  public void hostWhoseQueriesAreNotAnsweredLetsOthersGoFirst() {
    round.selectHosts(HOSTS, 0);
    round.recordConsent("a", round.number());
    assertTrue(round.isCompeting(1_000));
    round.selectHosts(HOSTS, 5_100);
    assertFalse(round.isCompeting(5_100));
    round.recordConsent("a", round.number());
    round.recordConsent("b", round.number());
    assertTrue(round.isGranted(HOSTS, 5_300));
    assertFalse(round.isCompeting(5_300));
    round.cancel(300, 5_300);
    round.selectHosts(HOSTS, 10_200);
    assertTrue(round.isCompeting(10_200));
  }

  // Two hosts that were cut off from each other only could not ask each other.
  @Test
  public void repeatedQueryIsPassedOnByHostThatAnswered() {
    round.selectHosts(HOSTS, 0);
    assertEquals(round.selectHelper(0), Optional.empty());
    assertEquals(round.selectHelper(1_100), Optional.empty());
    round.recordConsent("a", round.number());
    assertEquals(round.selectHelper(0), Optional.empty());
    assertEquals(round.selectHelper(1_100), Optional.of("a"));
  }

  @Test
  public void shortObjectionDoesNotEndLongOne() {
    round.selectHosts(HOSTS, 0);
    round.recordObjection(round.number(), 2_000, 100);
    round.cancel(300, 200);
    assertEquals(round.remainingMillis(200), 1_900);
  }
}
