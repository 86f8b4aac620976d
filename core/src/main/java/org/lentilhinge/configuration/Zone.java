package org.lentilhinge.configuration;

import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;

/**
 * The declaration of an availability zone.
 *
 * @param id the zone's identifier
 * @param region the region of the zone
 */
public record Zone(ZoneId id, RegionId region) {}
