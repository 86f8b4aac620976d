package org.lentilhinge.runtime.forward;

import io.vertx.core.buffer.Buffer;

/**
 * A complete response to a call made by this host itself.
 *
 * @param status the HTTP status
 * @param body the body
 */
public record ControlResponse(int status, Buffer body) {}
