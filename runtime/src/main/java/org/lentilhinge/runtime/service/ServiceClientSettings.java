package org.lentilhinge.runtime.service;

/**
 * The timeouts and limits of the client.
 *
 * @param connectTimeoutMillis the timeout for opening a connection, in milliseconds
 * @param responseTimeoutMillis the timeout for the complete response, in milliseconds
 * @param maximumResponseBytes the maximum size of the body of a response, in bytes
 * @param maximumConnections the maximum number of connections to one instance
 */
public record ServiceClientSettings(
    int connectTimeoutMillis,
    long responseTimeoutMillis,
    int maximumResponseBytes,
    int maximumConnections) {

  /** The defaults for services in the same region. */
  public static final ServiceClientSettings DEFAULT =
      new ServiceClientSettings(1_000, 10_000, 1_048_576, 256);
}
