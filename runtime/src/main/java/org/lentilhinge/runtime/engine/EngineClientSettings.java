package org.lentilhinge.runtime.engine;

/**
 * The timeouts and limits of an engine client.
 *
 * @param connectMillis the timeout for a connection, in milliseconds
 * @param firstChunkMillis the timeout for the first chunk of a response, in milliseconds
 * @param nextChunkMillis the timeout between two chunks, in milliseconds
 * @param orderMillis the timeout for the reply to an order or another short request, in
 *     milliseconds
 * @param connections the maximum number of connections to one engine
 * @param chunkBytes the maximum size of a chunk, in bytes
 */
public record EngineClientSettings(
    int connectMillis,
    long firstChunkMillis,
    long nextChunkMillis,
    long orderMillis,
    int connections,
    int chunkBytes) {

  /** The settings for engines of the same region. */
  public static final EngineClientSettings DEFAULT =
      new EngineClientSettings(1_000, 30_000, 5_000, 15_000, 1_024, 1_048_576);
}
