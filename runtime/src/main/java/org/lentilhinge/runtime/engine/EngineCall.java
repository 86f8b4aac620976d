package org.lentilhinge.runtime.engine;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;

/**
 * One short request to an engine, answered by a single response.
 *
 * @param endpoint the engine
 * @param address the address of the engine
 * @param method the HTTP method
 * @param path the path
 * @param body the body, if any
 * @param fencingToken the fencing token, present if the request is an order
 */
record EngineCall(
    EndpointId endpoint,
    String address,
    HttpMethod method,
    String path,
    Optional<JsonObject> body,
    Optional<FencingToken> fencingToken) {

  static EngineCall get(EndpointId endpoint, String address, String path) {
    return new EngineCall(
        endpoint, address, HttpMethod.GET, path, Optional.empty(), Optional.empty());
  }

  static EngineCall post(EndpointId endpoint, String address, String path, JsonObject body) {
    return new EngineCall(
        endpoint, address, HttpMethod.POST, path, Optional.of(body), Optional.empty());
  }

  EngineCall withFencingToken(FencingToken token) {
    return new EngineCall(endpoint, address, method, path, body, Optional.of(token));
  }
}
