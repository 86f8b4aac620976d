package org.lentilhinge.emulator.load;

import io.vertx.core.MultiMap;
import io.vertx.core.json.JsonObject;

/**
 * The destination and content of generated requests.
 *
 * @param port the loopback port
 * @param path the path
 * @param headers the headers
 * @param body the body
 */
public record LoadTarget(int port, String path, MultiMap headers, JsonObject body) {}
