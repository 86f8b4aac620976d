package org.lentilhinge.overlay;

/**
 * What a host states about itself. Only the host itself creates versions of its record.
 *
 * @param host the host's name
 * @param zone its availability zone
 * @param region its region
 * @param life a random number that differs between two lives of the host's process
 * @param version increases with each change; a record replaces those with lower versions
 * @param leaving whether the host is in a planned shutdown
 * @param protocol the number of the protocol between hosts that it speaks; 0 if it or the host that
 *     passed the record on is of a build that does not state it
 */
public record HostRecord(
    String host,
    String zone,
    String region,
    long life,
    long version,
    boolean leaving,
    int protocol) {

  /** The protocol of this build: hosts answer queries about the ownership of engines. */
  public static final int CURRENT_PROTOCOL = 1;

  /**
   * Creates the record of a host of this build.
   *
   * @param host the host's name
   * @param zone its availability zone
   * @param region its region
   * @param life a random number that differs between two lives of the host's process
   * @param version increases with each change
   * @param leaving whether the host is in a planned shutdown
   */
  public HostRecord(
      String host, String zone, String region, long life, long version, boolean leaving) {
    this(host, zone, region, life, version, leaving, CURRENT_PROTOCOL);
  }

  /**
   * Returns whether the host answers queries about the ownership of engines.
   *
   * @return whether its word can be asked for
   */
  public boolean answersOwnershipQueries() {
    return protocol >= 1;
  }

  /**
   * Indicates whether this record is newer than another one, or states more in the same version.
   */
  boolean replaces(HostRecord known) {
    return version > known.version() || (version == known.version() && protocol > known.protocol());
  }

  HostRecord withVersion(long newVersion) {
    return new HostRecord(host, zone, region, life, newVersion, leaving, protocol);
  }

  HostRecord asLeaving() {
    return new HostRecord(host, zone, region, life, version + 1, true, protocol);
  }
}
