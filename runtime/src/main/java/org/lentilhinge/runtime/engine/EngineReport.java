package org.lentilhinge.runtime.engine;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;

/**
 * Tells what an engine reports of itself. A report lags behind the engine: it is evidence of work
 * and never proof of idleness.
 *
 * @param endpoint the engine
 * @param incarnation a name that changes whenever the engine starts anew
 * @param running the number of requests that run
 * @param waiting the number of requests that wait for a batch slot
 * @param resident the adapter versions that are loaded
 * @param attempts the attempts that run or wait, as their gateways named them
 * @param highestFencing the highest fencing number that the engine has seen, if it checks them
 */
public record EngineReport(
    EndpointId endpoint,
    String incarnation,
    int running,
    int waiting,
    List<AdapterVersion> resident,
    Set<String> attempts,
    Optional<FencingToken> highestFencing) {

  /**
   * Copies the collections.
   *
   * @param endpoint the engine
   * @param incarnation the engine's life
   * @param running the running requests
   * @param waiting the waiting requests
   * @param resident the loaded adapter versions
   * @param attempts the attempts
   * @param highestFencing the highest fencing number
   */
  public EngineReport {
    resident = List.copyOf(resident);
    attempts = Set.copyOf(attempts);
  }
}
