package org.lentilhinge.runtime.service;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.lentilhinge.identity.EndpointId;

/**
 * One attempt to execute a call on one instance of a plain service.
 *
 * @param endpoint the instance
 * @param address its IP address and port, separated by a colon
 * @param method the HTTP method, in upper case
 * @param path the path with its query, beginning with a slash
 * @param headers the headers to send
 * @param body the body, empty if there is none
 * @param repeatable whether executing the call twice has the same effect as executing it once
 */
public record ServiceAttempt(
    EndpointId endpoint,
    String address,
    String method,
    String path,
    MultiMap headers,
    Buffer body,
    boolean repeatable) {}
