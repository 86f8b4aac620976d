package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * Tells other hosts how many orders an engine had accepted, so that the one that takes it next need
 * not begin to watch its count anew.
 *
 * @param life the life of the engine
 * @param orders the count of accepted orders
 * @param stillMillis the time since the count was seen first, in milliseconds
 */
public record OrderCount(String life, long orders, long stillMillis) implements PeerMessage {}
