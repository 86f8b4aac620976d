package org.lentilhinge.emulator.platform;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.identity.AdapterVersion;

/**
 * Emulates the rate-limited weight store. The store rejects loads above its rate, and once more
 * loads are in flight than it serves at full speed, their duration grows in proportion. The class
 * is thread-safe.
 */
public final class WeightStore {

  private static final long RATE_WINDOW_MILLIS = 1_000;

  private final int loadsPerSecond;
  private final int loadsAtFullSpeed;
  private final long loadMillis;
  private final Scheduler scheduler;
  private final Deque<Long> starts = new ArrayDeque<>();
  private final Set<AdapterVersion> broken = new HashSet<>();
  private int inFlight;
  private int mostInFlight;
  private long loads;
  private long refusals;

  /**
   * Creates a store.
   *
   * @param loadsPerSecond the number of loads that may start within any second
   * @param loadsAtFullSpeed the number of loads in flight above which each load takes longer
   * @param loadMillis the duration of a load at full speed, in milliseconds
   * @param scheduler the clock and timer of the loads
   */
  public WeightStore(
      int loadsPerSecond, int loadsAtFullSpeed, long loadMillis, Scheduler scheduler) {
    this.loadsPerSecond = loadsPerSecond;
    this.loadsAtFullSpeed = loadsAtFullSpeed;
    this.loadMillis = loadMillis;
    this.scheduler = scheduler;
  }

  /**
   * Fetches the weights of an adapter version.
   *
   * @param adapter the adapter version
   * @return a Completable that completes when the weights are loaded, and fails if the store
   *     rejects the load for its rate or the weights are marked as broken
   */
  public Completable fetch(AdapterVersion adapter) {
    return Completable.defer(() -> begin(adapter));
  }

  private synchronized Completable begin(AdapterVersion adapter) {
    long nowMillis = scheduler.now(TimeUnit.MILLISECONDS);
    while (!starts.isEmpty() && nowMillis - starts.peekFirst() >= RATE_WINDOW_MILLIS) {
      starts.removeFirst();
    }
    if (starts.size() >= loadsPerSecond) {
      refusals++;
      return Completable.error(new IllegalStateException("weight store rate limit exceeded"));
    }
    starts.addLast(nowMillis);
    loads++;
    inFlight++;
    mostInFlight = Math.max(mostInFlight, inFlight);
    long durationMillis = loadMillis * Math.max(inFlight, loadsAtFullSpeed) / loadsAtFullSpeed;
    Completable result =
        broken.contains(adapter)
            ? Completable.error(
                new IllegalStateException("adapter weights are corrupt: " + adapter))
            : Completable.complete();
    return Completable.timer(durationMillis, TimeUnit.MILLISECONDS, scheduler)
        .andThen(result)
        .doFinally(this::end);
  }

  private synchronized void end() {
    inFlight--;
  }

  /**
   * Marks the weights of an adapter version as broken, so that each later load of them fails.
   *
   * @param adapter the adapter version
   */
  public synchronized void breakWeights(AdapterVersion adapter) {
    broken.add(adapter);
  }

  /**
   * Returns the number of loads that were started.
   *
   * @return the number of loads
   */
  public synchronized long loads() {
    return loads;
  }

  /**
   * Returns the number of loads that were rejected because of the rate limit.
   *
   * @return the number of rejected loads
   */
  public synchronized long refusals() {
    return refusals;
  }

  /**
   * Returns the largest number of loads that were in flight at the same time.
   *
   * @return the number of loads
   */
  public synchronized int mostInFlight() {
    return mostInFlight;
  }
}
