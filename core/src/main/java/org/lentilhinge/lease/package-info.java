/**
 * Elects the owner of each endpoint among the entry hosts of its zone.
 *
 * <p>A host has one {@link org.lentilhinge.lease.ZoneOwnership} for its zone. The host passes in
 * the zone's lists, the live hosts, the endpoints, messages and ticks, and executes the returned
 * commands. Immediately before it writes each order, it reads the clock and checks {@link
 * org.lentilhinge.lease.ZoneOwnership#mayOrder}.
 */
package org.lentilhinge.lease;
