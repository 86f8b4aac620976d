package org.lentilhinge.runtime.engine;

/**
 * The timeouts and limits of an engine client.
 *
 * @param connectTimeoutMillis the timeout for a connection, in milliseconds
 * @param firstChunkTimeoutMillis the timeout for the first chunk of a response, in milliseconds
 * @param nextChunkTimeoutMillis the timeout between two chunks, in milliseconds
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

  /** The settings for engines of the same region. */
  public static final EngineClientSettings DEFAULT =
      new EngineClientSettings(1_000, 30_000, 5_000, 15_000, 1_024, 1_048_576);
}
