package org.lentilhinge.identity;

import java.util.Comparator;

/**
 * A state of the published store. The store counts its changes; when it is restored from an older
 * copy the count goes back, and a new era begins.
 *
 * @param era the number of times that the store was restored
 * @param revision the number of changes
 */
public record StoreRevision(long era, long revision) implements Comparable<StoreRevision> {

  /** Precedes all states of a store. */
  public static final StoreRevision NONE = new StoreRevision(0, -1);

  /**
   * The number of changes that a restore may lose if numbers of both eras are to be in order. At
   * 6,400 changes per second it covers a copy that is 160 seconds old.
   */
  private static final long MAXIMUM_LOST_CHANGES = 1L << 20;

  private static final Comparator<StoreRevision> ORDER =
      Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::revision);

  @Override
  public int compareTo(StoreRevision other) {
    return ORDER.compare(this, other);
  }

  /**
   * Returns whether this state precedes another one.
   *
   * @param other the other state
   * @return whether this state is older
   */
  public boolean isBefore(StoreRevision other) {
    return compareTo(other) < 0;
  }

  /**
   * Returns the later one of two states.
   *
   * @param other the other state
   * @return the later state
   */
  public StoreRevision latest(StoreRevision other) {
    return isBefore(other) ? other : this;
  }

  /**
   * Returns a number that rises with the state, also across a restore.
   *
   * @return the number
   */
  public long toNumber() {
    return era * MAXIMUM_LOST_CHANGES + revision;
  }

  @Override
  public String toString() {
    return era + "/" + revision;
  }
}
