package org.lentilhinge.published;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests which of the hosts of a zone read the store, and how often. */
public class ReadScheduleTest {

  private static final long STEP_MILLIS = 50;

  private final Random random = new Random(1);

  private ReadSchedule initialized() {
    ReadSchedule schedule = new ReadSchedule(1_000, random);
    assertTrue(schedule.isDue(1, 0), "the first read is due at once");
    schedule.recordStart();
    schedule.recordSuccess(0);
    return schedule;
  }

  @Test
  public void readerReadsAtItsInterval() {
    ReadSchedule schedule = initialized();
    assertFalse(schedule.isDue(0, 850));
    assertTrue(schedule.isDue(0, 1_000));
    schedule.recordStart();
    assertFalse(schedule.isDue(0, 5_000), "a read is in progress");
  }

  @Test
  public void hostWithNewsNeverReadsItself() {
    ReadSchedule schedule = initialized();
    for (long now = 0; now < 60_000; now += STEP_MILLIS) {
      if (now % 1_000 == 0) {
        schedule.recordNews(now);
      }
      assertFalse(schedule.isDue(1, now), "at " + now);
    }
  }

  @Test
  public void hostWithoutNewsReadsItselfWithinTwoSeconds() {
    ReadSchedule schedule = initialized();
    schedule.recordNews(1_000);
    assertFalse(schedule.isDue(1, 2_400));
    assertTrue(schedule.isDue(1, 3_000));
  }

  // When a reader was late, all hosts of its zone read the store and delayed each other's reads.
  @Test
  public void hostsReadOneAfterTheOtherWithoutNews() {
    ReadSchedule second = initialized();
    ReadSchedule third = initialized();
    ReadSchedule last = initialized();
    assertTrue(second.isDue(1, 1_600));
    assertFalse(third.isDue(2, 1_600));
    assertTrue(third.isDue(2, 2_100));
    assertFalse(last.isDue(11, 3_900));
    assertTrue(last.isDue(11, 4_100));
  }

  // A host that had just started sent the whole listing to its zone, which knew it already.
  @Test
  public void firstReadIsNotForTheZone() {
    ReadSchedule schedule = new ReadSchedule(1_000, random);
    assertTrue(schedule.isDue(2, 500_000));
    assertFalse(schedule.isSilent(2, 500_000));
    schedule.recordStart();
    schedule.recordSuccess(500_000);
    assertFalse(schedule.isSilent(2, 501_500));
    assertTrue(schedule.isSilent(2, 502_100));
  }

  @Test
  public void newsMakeReadAfterGapUnnecessary() {
    ReadSchedule schedule = initialized();
    schedule.recordNews(1_000);
    schedule.requestAfterGap(1_500);
    assertFalse(schedule.isDue(3, 1_690));
    assertTrue(schedule.isDue(3, 1_700));
    schedule.recordNews(1_750);
    assertFalse(schedule.isDue(3, 2_000));
  }

  @Test
  public void requestedReadIsMadeOnce() {
    ReadSchedule schedule = initialized();
    schedule.recordNews(1_500);
    schedule.request();
    assertTrue(schedule.isDue(1, 1_500));
    schedule.recordStart();
    schedule.recordSuccess(1_600);
    schedule.recordNews(2_600);
    assertFalse(schedule.isDue(1, 2_700));
  }

  @Test
  public void failedReadsBackOff() {
    ReadSchedule schedule = initialized();
    List<Long> reads = new ArrayList<>();
    for (long now = 1_000; now < 11_000; now += STEP_MILLIS) {
      if (schedule.isDue(0, now)) {
        reads.add(now);
        schedule.recordStart();
        schedule.recordFailure(now);
      }
    }
    assertTrue(reads.size() <= 17, reads.size() + " reads in 10 s");
    assertEquals(reads.get(1) - reads.get(0), 100L, 50.0);
  }
}
