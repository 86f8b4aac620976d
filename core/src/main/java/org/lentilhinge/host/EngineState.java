package org.lentilhinge.host;

import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;

/**
 * The state of an engine according to its own report. The report lags behind the engine: it is
 * evidence of work, but never proof that the engine is idle.
 *
 * @param endpoint the engine
 * @param incarnation the incarnation of the engine; a different number shows that it has restarted
 * @param fencing the highest fencing token that the engine has received, or empty if it has
 *     received none
 * @param resident the resident versions
 * @param busy the versions that requests run on
 * @param running the number of requests that run on the engine
 * @param queued the number of requests that wait on the engine
 * @param leaving whether the engine accepts no new work
 * @param takenAfterMillis a monotonic time that certainly precedes the report, in milliseconds
 */
public record EngineState(
    EndpointId endpoint,
    long incarnation,
    Optional<FencingToken> fencing,
    Set<AdapterVersion> resident,
    Set<AdapterVersion> busy,
    int running,
    int queued,
    boolean leaving,
    long takenAfterMillis) {

  /**
   * Copies the sets.
   *
   * @param endpoint the engine
   * @param incarnation the incarnation of the engine
   * @param fencing the highest fencing token
   * @param resident the resident versions
   * @param busy the busy versions
   * @param running the number of running requests
   * @param queued the number of queued requests
   * @param leaving whether the engine accepts no new work
   * @param takenAfterMillis the time before the report was taken
   */
  public EngineState {
    resident = Set.copyOf(resident);
    busy = Set.copyOf(busy);
  }
}
