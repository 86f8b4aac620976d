package org.lentilhinge.placement;

/** Ranks the loads that compete for the store. */
public interface LoadRanking {

  /**
   * Ranks a load.
   *
   * @param demand the load
   * @return the rank; the load with the greatest rank starts first
   */
  double rank(LoadDemand demand);
}
