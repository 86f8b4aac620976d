package org.lentilhinge.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which combinations of prompt parts are quarantined, for how long, and which are not. */
public class RequestQuarantineTest {

  private static final List<String> FATAL = List.of("common", "fatal");
  private static final List<String> SOUND = List.of("common", "sound");

  private RequestQuarantine host;

  @BeforeMethod
  public void create() {
    host = new RequestQuarantine(new Random(1));
  }

  private void serveOthers(long fromMillis, long toMillis) {
    for (long now = fromMillis; now < toMillis; now += 10) {
      host.recordSurvived(run("steady/1", SOUND, now - 50), now);
    }
  }

  private static RequestRun run(String engine, List<String> parts, long startedAtMillis) {
    return new RequestRun(engine, parts, "", startedAtMillis);
  }

  private Optional<QuarantineChange> crash(String engine, List<String> parts, long nowMillis) {
    return host.recordBroken(run(engine, parts, nowMillis - 80), nowMillis).stream().findFirst();
  }

  private void quarantineFatal() {
    serveOthers(0, 1_000);
    crash("a/1", FATAL, 1_000);
    serveOthers(1_000, 1_500);
    crash("b/1", FATAL, 1_500);
    serveOthers(1_500, 2_000);
    QuarantineChange change = crash("c/1", FATAL, 2_000).orElseThrow();
    assertEquals(
        change, new QuarantineChange(QuarantineChange.Cause.CRASHES, List.of("fatal"), "", 3));
  }

  // Requests with one part crashed engine after engine while hosts went on sending them.
  @Test
  public void refusesPartAfterThreeCrashesAndServesOthers() {
    quarantineFatal();
    assertTrue(host.remainingMillis(FATAL, "", 2_001).isPresent());
    assertTrue(host.remainingMillis(List.of("other", "fatal"), "", 2_001).isPresent());
    assertTrue(host.remainingMillis(SOUND, "", 2_001).isEmpty());
    assertTrue(host.remainingMillis(List.of(), "", 2_001).isEmpty());
  }

  // Requests that shared an engine with the fatal one must not be suspected for long.
  @Test
  public void doesNotSuspectPartsThatShareCrashedEngines() {
    serveOthers(0, 1_000);
    for (int crash = 0; crash < 3; crash++) {
      long now = 1_000 + crash * 400L;
      String engine = "e" + crash + "/1";
      crash(engine, SOUND, now);
      crash(engine, List.of("common", "rare" + crash), now);
      crash(engine, FATAL, now);
      serveOthers(now + 100, now + 300);
    }
    assertTrue(host.remainingMillis(FATAL, "", 2_000).isPresent());
    assertTrue(host.remainingMillis(SOUND, "", 2_000).isEmpty());
    assertTrue(host.remainingMillis(List.of("common", "rare0"), "", 2_000).isEmpty());
  }

  // A loss of many engines at once breaks requests with all parts.
  @Test
  public void lossOfManyEnginesQuarantinesNothing() {
    serveOthers(0, 1_000);
    for (int engine = 0; engine < 42; engine++) {
      long now = 1_000 + engine % 7 * 30L;
      assertTrue(crash("e" + engine + "/1", FATAL, now).isEmpty());
      assertTrue(crash("e" + engine + "/1", SOUND, now).isEmpty());
    }
  }

  // Engines that fail by themselves again and again break requests with all parts.
  @Test
  public void enginesThatCrashByThemselvesQuarantineNothing() {
    for (int crash = 0; crash < 40; crash++) {
      long now = 1_000 + crash * 300L;
      assertTrue(crash("e" + crash + "/1", List.of("p" + crash % 5), now).isEmpty());
      assertTrue(crash("e" + crash + "/1", List.of("q" + crash % 3), now + 10).isEmpty());
    }
  }

  // Lost connections to engines that go on are no crashes.
  @Test
  public void lostConnectionsToServingEnginesAreNoCrashes() {
    serveOthers(0, 1_000);
    for (int engine = 0; engine < 8; engine++) {
      long now = 1_000 + engine * 500L;
      assertTrue(crash("e" + engine + "/1", FATAL, now).isEmpty());
      host.recordSurvived(run("e" + engine + "/1", SOUND, now + 150), now + 250);
    }
    assertTrue(host.remainingMillis(FATAL, "", 6_000).isEmpty());
  }

  // A quarantine must also reach hosts that saw no crash, such as those that start later.
  @Test
  public void otherHostsAdoptQuarantine() {
    quarantineFatal();
    host.takeUnsent(2_000);
    RequestQuarantine later = new RequestQuarantine(new Random(2));
    List<RequestObservation> announced = host.takeUnsent(5_000);
    assertEquals(announced.size(), 1);
    QuarantineChange change = later.receive(announced.get(0).delayed(30), 5_030).get(0);
    assertEquals(change.cause(), QuarantineChange.Cause.OTHER_HOST);
    assertTrue(later.remainingMillis(FATAL, "", 5_031).isPresent());
    assertEquals(later.remainingMillis(FATAL, "", 6_000), host.remainingMillis(FATAL, "", 6_000));
  }

  // A wrong quarantine must end everywhere once a request with its parts was served.
  @Test
  public void survivedRequestLiftsQuarantineEverywhere() {
    quarantineFatal();
    RequestQuarantine other = new RequestQuarantine(new Random(2));
    host.takeUnsent(2_000).forEach(observation -> other.receive(observation, 2_030));
    assertTrue(other.remainingMillis(FATAL, "", 2_100).isPresent());
    QuarantineChange change = host.recordSurvived(run("d/1", FATAL, 1_990), 2_200).get(0);
    assertEquals(change.cause(), QuarantineChange.Cause.SURVIVED);
    host.takeUnsent(2_210).forEach(observation -> other.receive(observation, 2_240));
    assertTrue(host.remainingMillis(FATAL, "", 2_300).isEmpty());
    assertTrue(other.remainingMillis(FATAL, "", 2_300).isEmpty());
    RequestObservation outdated =
        new RequestObservation(
            RequestObservation.Kind.QUARANTINED, "", List.of("fatal"), "", 400, 400);
    assertTrue(host.receive(outdated, 2_400).isEmpty());
  }

  // Each announcement was under way for some time, which made the quarantine longer and longer.
  @Test
  public void announcementsOfOthersDoNotProlongQuarantine() {
    quarantineFatal();
    long agesMillis = 0;
    for (long now = 3_000; now < 600_000; now += 1_000) {
      agesMillis += 500;
      RequestObservation late =
          new RequestObservation(
              RequestObservation.Kind.QUARANTINED,
              "",
              List.of("fatal"),
              "",
              agesMillis,
              agesMillis);
      assertTrue(host.receive(late, now).isEmpty());
    }
    assertTrue(host.remainingMillis(FATAL, "", 2_000 + 600_000).isEmpty());
  }

  // Without an end a repaired engine would never serve the part again.
  @Test
  public void quarantineEndsAndOneCrashRestartsIt() {
    quarantineFatal();
    long ended = 2_000 + 600_000;
    assertTrue(host.remainingMillis(FATAL, "", ended - 1).isPresent());
    assertTrue(host.remainingMillis(FATAL, "", ended).isEmpty());
    assertTrue(crash("d/1", SOUND, ended + 10).isEmpty());
    assertTrue(crash("d/2", FATAL, ended + 400).isPresent());
    assertTrue(host.remainingMillis(FATAL, "", ended + 500).isPresent());
    assertFalse(host.remainingMillis(SOUND, "", ended + 500).isPresent());
  }
}
