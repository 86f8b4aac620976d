package org.lentilhinge.runtime.engine;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;

/**
 * The load report of an engine. A report lags behind the engine: it shows that work was running,
 * but never proves that the engine is idle.
 *
 * @param endpoint the engine
 * @param incarnation an identifier that changes on each start of the engine
 * @param running the number of running requests
 * @param waiting the number of requests waiting for a batch slot
 * @param resident the loaded adapter versions
 * @param attempts the ids of the running and waiting attempts, as assigned by their gateways
 * @param highestFencingToken the highest fencing token that the engine has seen, if the engine
 *     checks fencing tokens
 */
public record EngineReport(
    EndpointId endpoint,
    String incarnation,
    int running,
    int waiting,
    List<AdapterVersion> resident,
    Set<String> attempts,
    Optional<FencingToken> highestFencingToken) {

  /**
   * Copies the collections.
   *
   * @param endpoint the engine
   * @param incarnation the incarnation of the engine
   * @param running the running requests
   * @param waiting the waiting requests
   * @param resident the loaded adapter versions
   * @param attempts the attempts
   * @param highestFencingToken the highest fencing token
   */
  public EngineReport {
    resident = List.copyOf(resident);
    attempts = Set.copyOf(attempts);
  }
}
