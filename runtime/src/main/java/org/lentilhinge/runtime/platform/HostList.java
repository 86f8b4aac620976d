package org.lentilhinge.runtime.platform;

import io.reactivex.rxjava3.core.Single;

/** Reads the platform's list of live and leaving hosts and endpoints. */
public interface HostList {

  /**
   * Reads the list.
   *
   * @return the listed hosts and endpoints, or an error if the platform does not respond
   */
  Single<HostListing> read();
}
