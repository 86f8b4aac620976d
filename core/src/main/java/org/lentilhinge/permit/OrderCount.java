package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * The number of orders that an engine had accepted, as sent to other hosts. With this count the
 * next owner need not wait a full lease from its own first reading of the count.
 *
 * @param life the incarnation of the engine
 * @param orders the number of accepted orders
 * @param stillMillis the time since this count was first read, in milliseconds
 */
public record OrderCount(String life, long orders, long stillMillis) implements PeerMessage {}
