package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;

/** Reads what operators and endpoints have published. Each call is one try. */
public interface PublishedStore {

  /**
   * Lists the registered endpoints.
   *
   * @return the listing; fails if the store does not answer whole
   */
  Future<EndpointListing> endpoints();

  /**
   * Reads all that operators have declared.
   *
   * @return what is declared; fails if the store does not answer whole
   */
  Future<Declared> declared();

  /**
   * Waits for changes of what operators have declared.
   *
   * @param revision the revision up to which the changes are known
   * @param waitMillis the longest wait for a change, in milliseconds
   * @return what has changed, perhaps nothing; fails with {@link HistoryLostException} if the store
   *     no longer knows
   */
  Future<Declared> declaredSince(long revision, long waitMillis);
}
