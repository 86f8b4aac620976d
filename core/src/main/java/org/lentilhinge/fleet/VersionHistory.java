package org.lentilhinge.fleet;

import java.util.Optional;

/** The software versions that the endpoints of a service have had. */
public interface VersionHistory {

  /**
   * Returns the only version of a service since a time.
   *
   * @param service the service
   * @param sinceMillis the time, in milliseconds
   * @param nowMillis the current time, in milliseconds
   * @return the version, or empty if there may have been more than one
   */
  Optional<String> onlyVersionSince(String service, long sinceMillis, long nowMillis);

  /**
   * Returns the time of the latest listing of the endpoints.
   *
   * @return the time, in milliseconds; a negative one if there was none
   */
  long listedAtMillis();
}
