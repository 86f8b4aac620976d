package org.lentilhinge.runtime.forward;

import org.lentilhinge.published.DeclaredState;
import org.lentilhinge.published.EndpointListing;

/** Receives the contents of the published store. */
interface StoreListener {

  /** Records a revision that this host has just read itself. */
  void onRead(long revision);

  /** Handles a complete listing of endpoints. */
  void onListing(EndpointListing listing);

  /** Handles the declared state; parts that have not changed may be missing. */
  void onDeclaredState(DeclaredState declared);

  /**
   * Handles a failed read of the store.
   *
   * @param data the data that could not be read, {@code endpoints} or {@code declarations}
   * @param cause the cause of the failure
   */
  void onFailure(String data, String cause);
}
