package org.lentilhinge.runtime.forward;

/** Hears of what the store has published. */
interface StoreListener {

  /** Takes a whole listing of endpoints. */
  void listed(EndpointListing listing);

  /** Takes what operators have declared; a part that has not changed may be missing. */
  void declared(Declared declared);

  /** Tells that a reading failed. */
  void failed(String reading, String cause);
}
