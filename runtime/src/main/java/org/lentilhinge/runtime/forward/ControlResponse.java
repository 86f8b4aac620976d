package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.buffer.Buffer;

/**
 * The complete response to a call of the {@link ControlHttpClient}.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 */
public record ControlResponse(int status, HttpHeaders headers, Buffer body) {}
