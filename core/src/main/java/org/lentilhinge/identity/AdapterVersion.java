package org.lentilhinge.identity;

/**
 * A version of an adapter. The weights of a version never change.
 *
 * @param adapter the adapter
 * @param number the version's number, at least 1
 */
public record AdapterVersion(AdapterId adapter, int number) implements Comparable<AdapterVersion> {

  /**
   * Checks the number.
   *
   * @param adapter the adapter
   * @param number the version's number
   * @throws IllegalArgumentException if the number is below 1
   */
  public AdapterVersion {
    if (number < 1) {
      throw new IllegalArgumentException("adapter version is below 1: " + number);
    }
  }

  @Override
  public int compareTo(AdapterVersion other) {
    int byAdapter = adapter.compareTo(other.adapter);
    return byAdapter != 0 ? byAdapter : Integer.compare(number, other.number);
  }

  @Override
  public String toString() {
    return adapter + "@" + number;
  }
}
