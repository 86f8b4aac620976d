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
    assertTrue(schedule.isDue(false, 0), "the first read is due at once");
    schedule.recordStart();
    schedule.recordSuccess(0);
    return schedule;
  }

  @Test
  public void readerReadsAtItsInterval() {
    ReadSchedule schedule = initialized();
    assertFalse(schedule.isDue(true, 850));
    assertTrue(schedule.isDue(true, 1_000));
    schedule.recordStart();
    assertFalse(schedule.isDue(true, 5_000), "a read is in progress");
  }

  @Test
  public void hostWithNewsNeverReadsItself() {
    ReadSchedule schedule = initialized();
    for (long now = 0; now < 60_000; now += STEP_MILLIS) {
      if (now % 1_000 == 0) {
        schedule.recordNews(now);
      }
      assertFalse(schedule.isDue(false, now), "at " + now);
    }
  }

  @Test
  public void hostWithoutNewsReadsItselfWithinTwoSeconds() {
    ReadSchedule schedule = initialized();
    schedule.recordNews(1_000);
    assertFalse(schedule.isDue(false, 2_400));
    assertTrue(schedule.isDue(false, 3_000));
  }

  @Test
  public void requestedReadIsMadeOnce() {
    ReadSchedule schedule = initialized();
    schedule.recordNews(1_500);
    schedule.request();
    assertTrue(schedule.isDue(false, 1_500));
    schedule.recordStart();
    schedule.recordSuccess(1_600);
    schedule.recordNews(2_600);
    assertFalse(schedule.isDue(false, 2_700));
  }

  @Test
  public void failedReadsBackOff() {
    ReadSchedule schedule = initialized();
    List<Long> reads = new ArrayList<>();
    for (long now = 1_000; now < 11_000; now += STEP_MILLIS) {
      if (schedule.isDue(true, now)) {
        reads.add(now);
        schedule.recordStart();
        schedule.recordFailure(now);
      }
    }
    assertTrue(reads.size() <= 17, reads.size() + " reads in 10 s");
    assertEquals(reads.get(1) - reads.get(0), 100L, 50.0);
  }
}
