package org.lentilhinge.published.check;

/** The parts of a published configuration to which a finding can refer. */
public enum EntryField {
  /** The version. */
  VERSION,
  /** A complete route. */
  ROUTE,
  /** The name of a route. */
  ROUTE_NAME,
  /** The host name of a route. */
  ROUTE_HOST,
  /** The path prefix of a route. */
  ROUTE_PREFIX,
  /** The kind of the requests of a route. */
  ROUTE_KIND,
  /** The timeout of a route. */
  ROUTE_TIMEOUT,
  /** The target time of a route. */
  ROUTE_TARGET,
  /** The target time between two events of the streams of a route. */
  ROUTE_GAP_TARGET,
  /** The maximum number of attempts of a route. */
  ROUTE_ATTEMPTS,
  /** Whether streams of a route can be resumed. */
  ROUTE_RESUMABLE,
  /** The service of a share of a route. */
  SHARE_SERVICE,
  /** The weight of a share of a route. */
  SHARE_WEIGHT,
  /** The name of a service. */
  SERVICE_NAME,
  /** The maximum number of connections of a service. */
  SERVICE_CONNECTIONS,
  /** The batch slots of the engines of a service. */
  SERVICE_BATCH_SLOTS,
  /** The memory of the engines of a service. */
  SERVICE_MEMORY,
  /** The name of a customer. */
  CUSTOMER_NAME,
  /** A key of a customer. */
  CUSTOMER_KEY,
  /** The rate of a customer. */
  CUSTOMER_RATE,
  /** The burst of a customer. */
  CUSTOMER_BURST,
  /** The units that a plain request of a customer counts. */
  CUSTOMER_PLAIN_UNITS,
  /** The maximum size of the headers. */
  HEADER_LIMIT,
  /** The maximum size of a body. */
  BODY_LIMIT,
  /** The timeout for receiving the headers. */
  HEADER_TIMEOUT,
  /** The timeout of an idle connection. */
  IDLE_TIMEOUT
}
