package org.lentilhinge.path;

import org.lentilhinge.message.PeerMessage;

/**
 * The answer to a {@link PathQuery}.
 *
 * @param callerAddress the IP address and port at which the answering host accepts requests
 * @param cutOff whether the answering host has no path to the endpoints either
 * @param reached the number of the queried endpoints that responded to it a short time ago
 */
public record PathAnswer(String callerAddress, boolean cutOff, int reached)
    implements PeerMessage {}
