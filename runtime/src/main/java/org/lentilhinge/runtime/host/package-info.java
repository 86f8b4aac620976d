/**
 * Runs one entry host: passes socket and timer events to the state machines of {@link
 * org.lentilhinge.host.EntryHost} and {@link org.lentilhinge.booking}, and executes their commands.
 * Everything runs on one Vert.x context, so that no state needs a lock.
 */
package org.lentilhinge.runtime.host;
