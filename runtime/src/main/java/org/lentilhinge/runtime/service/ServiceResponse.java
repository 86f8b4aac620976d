package org.lentilhinge.runtime.service;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * A complete response of a plain service.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the complete body
 */
public record ServiceResponse(int status, MultiMap headers, Buffer body) {}
