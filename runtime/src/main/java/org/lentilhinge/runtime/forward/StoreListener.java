package org.lentilhinge.runtime.forward;

/** Receives the contents of the published store. */
interface StoreListener {

  /** Handles a complete listing of endpoints. */
  void listed(EndpointListing listing);

  /** Handles the declared state; parts that have not changed may be missing. */
  void declared(Declared declared);

  /** Handles a failed read of the store. */
  void failed(String reading, String cause);
}
