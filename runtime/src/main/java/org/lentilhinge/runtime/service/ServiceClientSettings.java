package org.lentilhinge.runtime.service;

/**
 * The timeouts and limits of the client.
 *
 * @param connectMillis the timeout for opening a connection, in milliseconds
 * @param answerMillis the timeout for the complete response, in milliseconds
 * @param answerBytes the maximum size of the body of a response, in bytes
 * @param connections the maximum number of connections to one instance
 */
public record ServiceClientSettings(
    int connectMillis, long answerMillis, int answerBytes, int connections) {

  /** The defaults for services in the same region. */
  public static final ServiceClientSettings DEFAULT =
      new ServiceClientSettings(1_000, 10_000, 1_048_576, 256);
}
