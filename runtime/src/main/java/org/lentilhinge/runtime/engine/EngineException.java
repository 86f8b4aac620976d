package org.lentilhinge.runtime.engine;

import java.util.Optional;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;

/** Reports that an engine failed an attempt or an order. */
public final class EngineException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final EngineFailure failure;
  private final EndpointId endpoint;
  private final FencingToken highestFencing;

  /**
   * Creates an exception.
   *
   * @param failure how the engine failed
   * @param endpoint the engine
   * @param detail what was seen
   */
  public EngineException(EngineFailure failure, EndpointId endpoint, String detail) {
    this(failure, endpoint, detail, null);
  }

  private EngineException(
      EngineFailure failure, EndpointId endpoint, String detail, FencingToken highestFencing) {
    super(endpoint + ": " + detail);
    this.failure = failure;
    this.endpoint = endpoint;
    this.highestFencing = highestFencing;
  }

  /**
   * Creates the exception of an order whose fencing number was refused.
   *
   * @param endpoint the engine
   * @param highestFencing the highest number that the engine has seen
   * @return the exception
   */
  public static EngineException fenced(EndpointId endpoint, FencingToken highestFencing) {
    return new EngineException(
        EngineFailure.FENCED,
        endpoint,
        "fencing number refused, highest is " + highestFencing,
        highestFencing);
  }

  /**
   * Tells how the engine failed.
   *
   * @return the failure
   */
  public EngineFailure failure() {
    return failure;
  }

  /**
   * Names the engine.
   *
   * @return the endpoint
   */
  public EndpointId endpoint() {
    return endpoint;
  }

  /**
   * Returns the highest fencing number that the engine has seen.
   *
   * @return the number, or empty unless the engine refused the order's number
   */
  public Optional<FencingToken> highestFencing() {
    return Optional.ofNullable(highestFencing);
  }
}
