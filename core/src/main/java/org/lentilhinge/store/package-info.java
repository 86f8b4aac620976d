/**
 * Division of the weight store's budget without shared state: the configuration sets each zone's
 * share, the zone's hosts divide it evenly, and a {@link org.lentilhinge.store.StoreBudgetShare}
 * lends permits that its host does not need to hosts of the same zone that request them. A host
 * lends only permits of its own share, so that the budget is not exceeded during a network
 * partition, when a message is lost or after a pause.
 *
 * <p>A host calls {@code onHostList} when the list of its zone's hosts changes, sends the messages
 * that {@code messages} returns every 50 ms, and passes received messages to {@code receive}.
 */
package org.lentilhinge.store;
