package org.lentilhinge.emulator.platform;

import static org.testng.Assert.assertEquals;

import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.testng.annotations.Test;

/** Tests the store's rate limit and load durations in virtual time. */
public class WeightStoreTest {

  private final TestScheduler scheduler = new TestScheduler();
  private final AdapterVersion adapter = new AdapterVersion(new AdapterId("drains"), 1);

  @Test
  public void rejectsLoadsAboveRate() {
    WeightStore store = new WeightStore(2, 8, 250, scheduler);
    store.fetch(adapter).test();
    store.fetch(adapter).test();
    store.fetch(adapter).test().assertError(IllegalStateException.class);
    scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
    store.fetch(adapter).test().assertNoErrors();
    assertEquals(store.startedLoads(), 3);
    assertEquals(store.rejectedLoads(), 1);
  }

  @Test
  public void slowsDownWithLoadsInFlight() {
    WeightStore store = new WeightStore(100, 2, 250, scheduler);
    TestObserver<Void> first = store.fetch(adapter).test();
    store.fetch(adapter).test();
    store.fetch(adapter).test();
    TestObserver<Void> fourth = store.fetch(adapter).test();
    scheduler.advanceTimeBy(250, TimeUnit.MILLISECONDS);
    first.assertComplete();
    fourth.assertNotComplete();
    scheduler.advanceTimeBy(250, TimeUnit.MILLISECONDS);
    fourth.assertComplete();
    assertEquals(store.maximumInFlight(), 4);
  }

  @Test
  public void failsForBrokenWeights() {
    WeightStore store = new WeightStore(2, 8, 250, scheduler);
    store.breakWeights(adapter);
    TestObserver<Void> load = store.fetch(adapter).test();
    load.assertNotComplete();
    scheduler.advanceTimeBy(250, TimeUnit.MILLISECONDS);
    load.assertError(IllegalStateException.class);
  }
}
