/**
 * Membership of the entry hosts without a list of them: each host exchanges heartbeats with a few
 * others, changes are gossiped, and engine statuses reach a zone through relays, so that the cost
 * of a host grows with the logarithm of the number of hosts or with the size of its zone.
 */
package org.lentilhinge.overlay;
