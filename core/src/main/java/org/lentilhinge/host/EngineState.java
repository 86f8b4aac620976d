package org.lentilhinge.host;

import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;

/**
 * Describes an engine as its own report does. The report lags: it is evidence of work, never proof
 * of idleness.
 *
 * @param endpoint the engine
 * @param start identifies the engine's present life; another number tells that it has restarted
 * @param fencing the highest fencing number that it has seen, or empty if none
 * @param resident the versions that it holds
 * @param busy the versions that requests run on
 * @param running the number of requests that it runs
 * @param queued the number of requests that wait there
 * @param leaving whether it takes no new work
 * @param takenMillis the monotonic time at which the report was surely not yet taken
 */
public record EngineState(
    EndpointId endpoint,
    long start,
    Optional<FencingToken> fencing,
    Set<AdapterVersion> resident,
    Set<AdapterVersion> busy,
    int running,
    int queued,
    boolean leaving,
    long takenMillis) {

  /**
   * Copies the sets.
   *
   * @param endpoint the engine
   * @param start its present life
   * @param fencing the highest fencing number
   * @param resident the resident versions
   * @param busy the busy versions
   * @param running the running requests
   * @param queued the queued requests
   * @param leaving whether it takes no new work
   * @param takenMillis the time
   */
  public EngineState {
    resident = Set.copyOf(resident);
    busy = Set.copyOf(busy);
  }
}
