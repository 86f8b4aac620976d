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
 */
public record HostRecord(
    String host, String zone, String region, long life, long version, boolean leaving) {

  HostRecord withVersion(long newVersion) {
    return new HostRecord(host, zone, region, life, newVersion, leaving);
  }

  HostRecord asLeaving() {
    return new HostRecord(host, zone, region, life, version + 1, true);
  }
}
