/**
 * Links between entry hosts: MessagePack messages in TCP frames, with an authenticated handshake,
 * pings and reconnection.
 */
package org.lentilhinge.runtime.peer;
