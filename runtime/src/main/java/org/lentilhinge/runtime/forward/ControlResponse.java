package org.lentilhinge.runtime.forward;

import io.vertx.core.buffer.Buffer;

/**
 * The complete response to a call of the {@link ControlHttpClient}.
 *
 * @param status the HTTP status
 * @param body the body
 */
public record ControlResponse(int status, Buffer body) {}
