/**
 * Membership of the entry hosts: which hosts exist and which of them are alive.
 *
 * <p>A host passes the platform's list, the messages that it receives and periodic ticks to {@link
 * org.lentilhinge.membership.Membership}, and executes the returned commands. Hosts of a zone send
 * each other heartbeats. Between zones only a few delegates exchange summaries, and forward changed
 * summaries within their zone.
 */
package org.lentilhinge.membership;
