package org.lentilhinge.runtime.forward;

import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.published.DeclaredState;
import org.lentilhinge.published.EndpointListing;

/** Receives the contents of the published store. */
interface StoreListener {

  /** Records a state of the store that this host has just read itself. */
  void onRead(StoreRevision revision, long requestedAtMillis);

  /** Handles a complete listing of endpoints. */
  void onListing(EndpointListing listing);

  /**
   * Handles the declared state; parts that have not changed may be missing.
   *
   * @param declared the declared state
   * @param source the host that sent it, or {@code store} if this host has read it
   * @param readMillis the duration of this host's read, including the wait for a change, in
   *     milliseconds; 0 if another host sent it
   */
  void onDeclaredState(DeclaredState declared, String source, long readMillis);

  /**
   * Handles a failed read of the store.
   *
   * @param data the data that could not be read, {@code endpoints} or {@code declarations}
   * @param cause the cause of the failure
   */
  void onFailure(String data, String cause);
}
