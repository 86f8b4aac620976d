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
  private final Deque<Long> recentStartsMillis = new ArrayDeque<>();
  private final Set<AdapterVersion> brokenVersions = new HashSet<>();
  private int inFlight;
  private int maximumInFlight;
  private long startedLoads;
  private long rejectedLoads;

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
   *     rejects the load because of its rate limit or the weights are marked as broken
   */
  public Completable fetch(AdapterVersion adapter) {
    return Completable.defer(() -> startLoad(adapter));
  }

  private synchronized Completable startLoad(AdapterVersion adapter) {
    long nowMillis = scheduler.now(TimeUnit.MILLISECONDS);
    while (!recentStartsMillis.isEmpty()
        && nowMillis - recentStartsMillis.peekFirst() >= RATE_WINDOW_MILLIS) {
      recentStartsMillis.removeFirst();
    }
    if (recentStartsMillis.size() >= loadsPerSecond) {
      rejectedLoads++;
      return Completable.error(new IllegalStateException("weight store rate limit exceeded"));
    }
    recentStartsMillis.addLast(nowMillis);
    startedLoads++;
    inFlight++;
    maximumInFlight = Math.max(maximumInFlight, inFlight);
    long durationMillis = loadMillis * Math.max(inFlight, loadsAtFullSpeed) / loadsAtFullSpeed;
    Completable result =
        brokenVersions.contains(adapter)
            ? Completable.error(
                new IllegalStateException("adapter weights are corrupt: " + adapter))
            : Completable.complete();
    return Completable.timer(durationMillis, TimeUnit.MILLISECONDS, scheduler)
        .andThen(result)
        .doFinally(this::finishLoad);
  }

  private synchronized void finishLoad() {
    inFlight--;
  }

  /**
   * Marks the weights of an adapter version as broken, so that each later load of them fails.
   *
   * @param adapter the adapter version
   */
  public synchronized void breakWeights(AdapterVersion adapter) {
    brokenVersions.add(adapter);
  }

  /**
   * Returns the number of loads that were started.
   *
   * @return the number of loads
   */
  public synchronized long startedLoads() {
    return startedLoads;
  }

  /**
   * Returns the number of loads that were rejected because of the rate limit.
   *
   * @return the number of rejected loads
   */
  public synchronized long rejectedLoads() {
    return rejectedLoads;
  }

  /**
   * Returns the largest number of loads that were in flight at the same time.
   *
   * @return the number of loads
   */
  public synchronized int maximumInFlight() {
    return maximumInFlight;
  }
}
