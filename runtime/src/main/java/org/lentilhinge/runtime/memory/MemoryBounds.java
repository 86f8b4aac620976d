package org.lentilhinge.runtime.memory;

/**
 * The bounds of the bytes that a host holds for others.
 *
 * @param responses the bytes of responses of all requests together, with those that callers have
 *     not accepted yet
 * @param requestBodies the bytes of request bodies of all requests together
 * @param endpointBodies the bytes of request bodies that one endpoint has not accepted yet
 * @param slowCallers the bytes that all callers together have not accepted yet, above which the
 *     responses to slow callers are not read any further
 * @param slowCaller the bytes that one caller has not accepted yet, above which its response is not
 *     read any further
 */
public record MemoryBounds(
    long responses, long requestBodies, long endpointBodies, long slowCallers, long slowCaller) {

  /** The part of the heap that responses may take; the known state of a large site takes more. */
  private static final int RESPONSE_PARTS = 4;

  /**
   * The part of the heap that request bodies may take. A body that is being sent takes its length
   * once more outside of the heap. 16 MB of the smallest hosts' 128 MB are thousands of bodies of a
   * few KB, or four of the largest in use (4 MB).
   */
  private static final int REQUEST_BODY_PARTS = 8;

  /**
   * The part of the heap that the bodies for one endpoint may take: a quarter of the bound of all
   * bodies, so that a few endpoints that do not read leave room for the others.
   */
  private static final int ENDPOINT_BODY_PARTS = 32;

  /**
   * The part of the heap that the data for slow callers may take: half of the bound of responses,
   * so that slow callers alone cause no response to be ended.
   */
  private static final int SLOW_CALLER_PARTS = 8;

  /** The bytes of a stream of more than 2,000 events of 200 bytes; nearly all are shorter. */
  private static final long SLOW_CALLER_BYTES = 524_288;

  /**
   * Returns the bounds in proportion to the heap of this process.
   *
   * @return the bounds
   */
  public static MemoryBounds ofHeap() {
    long heapBytes = Runtime.getRuntime().maxMemory();
    return new MemoryBounds(
        heapBytes / RESPONSE_PARTS,
        heapBytes / REQUEST_BODY_PARTS,
        heapBytes / ENDPOINT_BODY_PARTS,
        heapBytes / SLOW_CALLER_PARTS,
        SLOW_CALLER_BYTES);
  }
}
