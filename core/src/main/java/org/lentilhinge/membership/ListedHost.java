package org.lentilhinge.membership;

import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;

/**
 * An entry host in the platform's list or among the seeds of the settings.
 *
 * @param host the host
 * @param zone the host's availability zone
 * @param address the host's IP address and peer port, separated by a colon
 * @param leaving whether the list marks the host as leaving
 */
public record ListedHost(HostId host, ZoneId zone, String address, boolean leaving) {}
