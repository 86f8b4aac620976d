/**
 * Composes the state machines of one entry host: membership, ownership, placement, grants, routing
 * and admission. {@link org.lentilhinge.host.EntryHost} handles {@link
 * org.lentilhinge.host.HostEvent}s and returns {@link org.lentilhinge.host.HostCommand}s; the same
 * code runs on real sockets and in virtual time.
 */
package org.lentilhinge.host;
