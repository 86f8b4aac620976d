package org.lentilhinge.runtime.settings;

import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;

/**
 * The identity and location of the host.
 *
 * @param name the host's name, unique in the system
 * @param zone its availability zone
 * @param region its region
 */
public record HostSettings(HostId name, ZoneId zone, RegionId region) {}
