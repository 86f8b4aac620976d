package org.lentilhinge.runtime.engine;

/**
 * The timeouts and limits of an engine client.
 *
 * @param connectTimeoutMillis the timeout for establishing a connection, in milliseconds
 * @param firstChunkTimeoutMillis the timeout for the first chunk of a response, in milliseconds
 * @param nextChunkTimeoutMillis the timeout for each further chunk, in milliseconds
 * @param orderTimeoutMillis the timeout for the reply to an order or another short request, in
 *     milliseconds
 * @param maximumConnections the maximum number of connections to one engine
 * @param maximumChunkBytes the maximum size of a chunk, in bytes
 */
public record EngineClientSettings(
    int connectTimeoutMillis,
    long firstChunkTimeoutMillis,
    long nextChunkTimeoutMillis,
    long orderTimeoutMillis,
    int maximumConnections,
    int maximumChunkBytes) {

  /** The settings for engines in the region of the client. */
  public static final EngineClientSettings DEFAULT =
      new EngineClientSettings(1_000, 30_000, 5_000, 15_000, 1_024, 1_048_576);
}
