package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.published.DeclaredState;
import org.lentilhinge.published.EndpointListing;

/** Reads the data published by operators and endpoints. Calls are not retried. */
public interface PublishedStore {

  /**
   * Lists the registered endpoints.
   *
   * @return the listing; fails if no complete response is received
   */
  Future<EndpointListing> listEndpoints();

  /**
   * Reads the complete state that operators have declared.
   *
   * @return the declared state; fails if no complete response is received
   */
  Future<DeclaredState> readDeclaredState();

  /**
   * Waits for changes of the declared state.
   *
   * @param revision the revision up to which the changes are known
   * @param waitMillis the maximum wait for a change, in milliseconds
   * @return the changes, which may be empty; fails with {@link HistoryCompactedException} if the
   *     store no longer has the changes after the revision, or was restored since
   */
  Future<DeclaredState> awaitDeclaredState(StoreRevision revision, long waitMillis);
}
