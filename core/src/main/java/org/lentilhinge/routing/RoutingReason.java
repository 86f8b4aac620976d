package org.lentilhinge.routing;

/** Lists the reasons for routing decisions, for the decision log. */
public enum RoutingReason {
  /** The endpoint is the least loaded one. */
  LEAST_LOADED,
  /** The endpoint is the first of the adapter's rendezvous order. */
  AFFINITY,
  /** The adapter is resident on the endpoint, which has free batch slots. */
  RESIDENT,
  /**
   * The adapter is resident on the endpoint, which is likely to have the start of the prompt in its
   * prefix cache.
   */
  RESIDENT_PREFIX,
  /** The endpoint is already loading the adapter. */
  JOIN_LOAD,
  /** All holders are full; the request is queued at the one that is expected to be free first. */
  QUEUE_AT_HOLDER,
  /** All holders are full; another endpoint with free batch slots also loads the adapter. */
  SPILL,
  /** The adapter is not resident on any endpoint. */
  MISS,
  /**
   * The adapter is resident in the other region, and sending the request there transfers fewer
   * bytes than a load.
   */
  FAR_HOLDER,
  /** The adapter is loaded on an engine in use, so that its present holder can become idle. */
  CONSOLIDATE,
  /** The load could not start in time, because the store's budget is exhausted. */
  STORE_BUSY,
  /** All endpoints that could run the request are full. */
  NO_CAPACITY,
  /** No endpoint that serves the base model can accept the request. */
  NO_ENDPOINT
}
