/**
 * The input and output of the forwarding path: connections of callers, connections to endpoints,
 * the client of the published store, and the control of the engines that this host owns. The
 * package uses Vert.x sockets with Netty's HTTP codec because the HTTP layer of Vert.x hides
 * details that forwarding depends on: whether a byte was sent, whether the connection was reset
 * during a response without a length, and bytes that follow a response.
 */
package org.lentilhinge.runtime.forward;
