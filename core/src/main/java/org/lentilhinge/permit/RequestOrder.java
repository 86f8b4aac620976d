package org.lentilhinge.permit;

import java.util.Collection;
import java.util.List;

/** Decides which waiting requests come first, and which one is refused if not all can be served. */
interface RequestOrder {

  /**
   * Sorts waiting requests.
   *
   * @param entries the requests
   * @param nowMillis the current time, in milliseconds
   * @return the requests, the one to be served first at the front
   */
  List<QueueEntry> sort(Collection<QueueEntry> entries, long nowMillis);

  /**
   * Selects the request to refuse.
   *
   * @param candidates the requests whose refusal would help, in the order of {@link #sort}
   * @param added the request that arrived last
   * @param nowMillis the current time, in milliseconds
   * @return one of the candidates, or the request that arrived last
   */
  QueueEntry selectRefused(List<QueueEntry> candidates, QueueEntry added, long nowMillis);
}
