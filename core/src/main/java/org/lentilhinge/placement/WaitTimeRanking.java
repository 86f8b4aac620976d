package org.lentilhinge.placement;

/** Ranks loads by the summed waiting times of their requests, weighted by urgency. */
public final class WaitTimeRanking implements LoadRanking {

  @Override
  public double rank(LoadDemand demand) {
    return demand.waitingRequestSeconds();
  }
}
