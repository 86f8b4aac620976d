package org.lentilhinge.runtime.peer;

import org.lentilhinge.identity.HostId;

/**
 * The address at which an entry host accepts links.
 *
 * @param host the host
 * @param persistent whether the link is kept open; otherwise it is opened when a message is sent
 *     and closed when it is idle
 * @param address its IP address
 * @param port its port
 */
public record PeerAddress(HostId host, boolean persistent, String address, int port) {}
