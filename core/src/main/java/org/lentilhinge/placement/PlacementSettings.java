package org.lentilhinge.placement;

import org.lentilhinge.configuration.Policy;

/**
 * The settings by which an owner places adapters.
 *
 * @param popularityDecayMillis the time in which a version's count of requests decays to 1/e, in
 *     milliseconds
 * @param popularityCapacity the maximum number of versions whose popularity is tracked for an
 *     engine
 * @param minimumResidencyMillis the minimum time that a loaded version stays resident before it may
 *     be evicted, in milliseconds
 * @param retryBaseMillis the pause after the first failed load of a version, in milliseconds; it
 *     doubles with each further failure
 * @param retryMaximumMillis the maximum pause between two loads of a version, in milliseconds
 * @param poisonFailures the number of consecutive failures after which a version is declined
 * @param maximumWaitMillis the maximum time that a gateway's request may wait for a load, in
 *     milliseconds
 * @param prefetchLimit the maximum number of concurrent prefetch loads on an engine
 * @param prefetchRateFactor the factor by which the request rate of a version must exceed that of
 *     the version that it replaces, so that the version is prefetched
 * @param prefetchMinimumPerSecond the minimum request rate of a version, in requests per second, at
 *     which the version is prefetched
 * @param idleMillis the time that a version must have been unused to be unloaded in advance, in
 *     milliseconds, so that the next load finds a free slot
 */
public record PlacementSettings(
    long popularityDecayMillis,
    int popularityCapacity,
    long minimumResidencyMillis,
    long retryBaseMillis,
    long retryMaximumMillis,
    int poisonFailures,
    long maximumWaitMillis,
    int prefetchLimit,
    double prefetchRateFactor,
    double prefetchMinimumPerSecond,
    long idleMillis) {

  /**
   * Returns the settings for a policy. A policy that weighs load stalls at least as high as batch
   * efficiency keeps a slot free on each engine; a policy that weighs batch efficiency higher uses
   * all slots of the few engines in use.
   *
   * @param policy the policy
   * @return the settings
   */
  public static PlacementSettings forPolicy(Policy policy) {
    return policy.batchWeight() > policy.stallWeight()
        ? DEFAULTS
        : DEFAULTS.withIdleMillis(UNLOAD_IDLE_MILLIS);
  }

  /**
   * Returns a copy with another idle time after which a version is unloaded in advance.
   *
   * @param changedIdleMillis the time in milliseconds
   * @return the changed copy
   */
  public PlacementSettings withIdleMillis(long changedIdleMillis) {
    return new PlacementSettings(
        popularityDecayMillis,
        popularityCapacity,
        minimumResidencyMillis,
        retryBaseMillis,
        retryMaximumMillis,
        poisonFailures,
        maximumWaitMillis,
        prefetchLimit,
        prefetchRateFactor,
        prefetchMinimumPerSecond,
        changedIdleMillis);
  }

  /**
   * Returns a copy with another minimum request rate for prefetching.
   *
   * @param changedMinimumPerSecond the minimum rate in requests per second
   * @return the changed copy
   */
  public PlacementSettings withPrefetchMinimumPerSecond(double changedMinimumPerSecond) {
    return new PlacementSettings(
        popularityDecayMillis,
        popularityCapacity,
        minimumResidencyMillis,
        retryBaseMillis,
        retryMaximumMillis,
        poisonFailures,
        maximumWaitMillis,
        prefetchLimit,
        prefetchRateFactor,
        changedMinimumPerSecond,
        idleMillis);
  }

  private static final long UNLOAD_IDLE_MILLIS = 4_000;

  /** The default settings of an owner. */
  public static final PlacementSettings DEFAULTS =
      new PlacementSettings(
          900_000, 2_000, 2_000, 100, 30_000, 6, 20_000, 1, 3.0, 0.01, Long.MAX_VALUE);
}
