/**
 * The forwarding path round its core: callers' connections, connections to endpoints, the published
 * store, and the driver of engines that this host holds. It works on Vert.x sockets with Netty's
 * HTTP codec, because Vert.x's HTTP layer hides what the path must know: whether a byte left,
 * whether an answer without a length was reset, and bytes that follow an answer.
 */
package org.lentilhinge.runtime.forward;
