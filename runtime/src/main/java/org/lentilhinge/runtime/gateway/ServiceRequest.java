package org.lentilhinge.runtime.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.RequestId;

/**
 * A caller's call of a plain service.
 *
 * @param request the request id
 * @param caller the caller, which is permitted to call the service
 * @param service the declared service
 * @param method the HTTP method, in upper case
 * @param path the path within the service with its query, starting with a slash
 * @param headers the headers to forward
 * @param body the body, which may be empty
 * @param key the idempotency key; always present if the call is not repeatable
 * @param repeatable whether the service declares the call repeatable
 */
public record ServiceRequest(
    RequestId request,
    CallerId caller,
    Service service,
    String method,
    String path,
    MultiMap headers,
    Buffer body,
    Optional<String> key,
    boolean repeatable) {}
