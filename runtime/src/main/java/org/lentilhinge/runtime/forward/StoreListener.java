package org.lentilhinge.runtime.forward;

/** Receives the contents of the published store. */
interface StoreListener {

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
