package org.lentilhinge.runtime.forward;

import io.vertx.core.buffer.Buffer;

/**
 * A whole answer to a call of this host's own.
 *
 * @param status the HTTP status
 * @param body the body
 */
public record HttpReply(int status, Buffer body) {}
