package org.lentilhinge.runtime.peer;

import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;

/**
 * The address at which an entry host accepts links.
 *
 * @param host the host
 * @param zone its availability zone
 * @param address its IP address
 * @param port its port
 */
public record PeerAddress(HostId host, ZoneId zone, String address, int port) {}
