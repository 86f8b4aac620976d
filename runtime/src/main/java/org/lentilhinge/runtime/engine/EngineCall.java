package org.lentilhinge.runtime.engine;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;

/**
 * Describes one short exchange with an engine.
 *
 * @param endpoint the engine
 * @param address its address
 * @param method the HTTP method
 * @param path the path
 * @param body the body, if there is one
 * @param fencing the fencing number, if the exchange is an order
 */
record EngineCall(
    EndpointId endpoint,
    String address,
    HttpMethod method,
    String path,
    Optional<JsonObject> body,
    Optional<FencingToken> fencing) {

  static EngineCall get(EndpointId endpoint, String address, String path) {
    return new EngineCall(
        endpoint, address, HttpMethod.GET, path, Optional.empty(), Optional.empty());
  }

  static EngineCall post(EndpointId endpoint, String address, String path, JsonObject body) {
    return new EngineCall(
        endpoint, address, HttpMethod.POST, path, Optional.of(body), Optional.empty());
  }

  EngineCall withFencing(FencingToken number) {
    return new EngineCall(endpoint, address, method, path, body, Optional.of(number));
  }
}
