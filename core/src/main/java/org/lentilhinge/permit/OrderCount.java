package org.lentilhinge.permit;

/**
 * The number of orders that an engine had accepted, as sent to other hosts. With this count, the
 * next owner need not wait for a full lease after it first read the count itself.
 *
 * @param incarnation the incarnation of the engine
 * @param acceptedOrders the number of accepted orders
 * @param unchangedMillis the time since this count was first read, in milliseconds
 */
public record OrderCount(String incarnation, long acceptedOrders, long unchangedMillis) {}
