package org.lentilhinge.allowance;

/**
 * What customers may use beyond their quotas at most, as the operators guarantee to the owners of
 * the endpoints: in each window (rate x window + burst) x (1 + over) + slack.
 *
 * @param windowMillis the length of the window, in milliseconds
 * @param over the fraction of the quota by which the use in a window may exceed it
 * @param slack the units that may be used in addition
 */
public record AllowanceBounds(long windowMillis, double over, double slack) {

  /** The bounds that apply if the settings state none. */
  public static final AllowanceBounds DEFAULT = new AllowanceBounds(8_000, 0.25, 0);
}
