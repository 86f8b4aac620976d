package org.lentilhinge.placement;

/** Ranks loads by the time of their first request; the earliest starts first. */
public final class FirstComeFirstServedRanking implements LoadRanking {

  @Override
  public double rank(LoadDemand demand) {
    return -demand.pendingSinceMillis();
  }
}
