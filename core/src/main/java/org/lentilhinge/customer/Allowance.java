package org.lentilhinge.customer;

/**
 * What a customer may use over all hosts together: a rate and a burst in addition to it.
 *
 * @param perSecond the units per second; 0 if there is no limit
 * @param burst the units that may be used at once after a time without requests
 * @param tokens whether the units are tokens; otherwise each request is one unit
 * @param plainTokens the tokens that a request counts as if it states none
 */
public record Allowance(double perSecond, double burst, boolean tokens, int plainTokens) {

  /** No limit. */
  public static final Allowance UNLIMITED = new Allowance(0, 0, false, 0);

  /**
   * Checks the figures.
   *
   * @param perSecond the units per second
   * @param burst the burst
   * @param tokens whether the units are tokens
   * @param plainTokens the tokens of a request that states none
   * @throws IllegalArgumentException if a figure is negative or not a finite number
   */
  public Allowance {
    check("rate", perSecond);
    check("burst", burst);
    check("tokens of a plain request", plainTokens);
  }

  private static void check(String name, double figure) {
    if (!Double.isFinite(figure) || figure < 0) {
      throw new IllegalArgumentException("invalid " + name + " of an allowance: " + figure);
    }
  }

  /**
   * Returns whether the customer may use any amount.
   *
   * @return whether there is no limit
   */
  public boolean isUnlimited() {
    return perSecond == 0;
  }
}
