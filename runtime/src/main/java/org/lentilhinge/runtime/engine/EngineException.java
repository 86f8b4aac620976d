package org.lentilhinge.runtime.engine;

import java.util.Optional;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;

/** Thrown when an attempt or an order fails at an engine. */
public final class EngineException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final EngineFailure failure;
  private final EndpointId endpoint;
  private final FencingToken highestFencingToken;

  /**
   * Creates an exception.
   *
   * @param failure the kind of failure
   * @param endpoint the engine
   * @param detail the observed error
   */
  public EngineException(EngineFailure failure, EndpointId endpoint, String detail) {
    this(failure, endpoint, detail, null);
  }

  private EngineException(
      EngineFailure failure, EndpointId endpoint, String detail, FencingToken highestFencingToken) {
    super(endpoint + ": " + detail);
    this.failure = failure;
    this.endpoint = endpoint;
    this.highestFencingToken = highestFencingToken;
  }

  /**
   * Creates the exception for an order whose fencing token was rejected.
   *
   * @param endpoint the engine
   * @param highestFencingToken the highest fencing token that the engine has seen
   * @return the exception
   */
  public static EngineException fenced(EndpointId endpoint, FencingToken highestFencingToken) {
    return new EngineException(
        EngineFailure.FENCED,
        endpoint,
        "fencing token rejected, highest is " + highestFencingToken,
        highestFencingToken);
  }

  /**
   * Returns the kind of failure.
   *
   * @return the failure
   */
  public EngineFailure failure() {
    return failure;
  }

  /**
   * Returns the engine.
   *
   * @return the endpoint
   */
  public EndpointId endpoint() {
    return endpoint;
  }

  /**
   * Returns the highest fencing token that the engine has seen.
   *
   * @return the token, or empty unless the engine rejected the token of the order
   */
  public Optional<FencingToken> highestFencingToken() {
    return Optional.ofNullable(highestFencingToken);
  }
}
