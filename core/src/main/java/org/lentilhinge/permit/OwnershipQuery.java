package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * Asks another host whether it objects to the ownership of an engine by the host that asks. A third
 * host may pass it on.
 *
 * @param asker the host that asks
 * @param target the host that is asked
 * @param incarnation the incarnation of the engine
 * @param round the number of the round of queries, which the answer repeats
 * @param fencingToken the fencing token of the asker if it owns the engine and confirms that; 0 if
 *     it is about to take the engine over
 * @param hostsDigest the digest of the hosts that the asker knows, equal if the target knows the
 *     same ones
 */
public record OwnershipQuery(
    String asker,
    String target,
    String incarnation,
    long round,
    long fencingToken,
    long hostsDigest)
    implements PeerMessage {}
