package org.lentilhinge.runtime.memory;

/**
 * Bounds the bytes of request bodies that a host holds, of all requests together: those that
 * callers are sending, those that wait, and those that an endpoint has not read.
 */
public final class BodyMemory {

  private final long maximumBytes;
  private long heldBytes;

  /**
   * Creates an empty memory.
   *
   * @param maximumBytes the maximum of the sum, in bytes
   */
  public BodyMemory(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /**
   * Returns the bytes that are held now.
   *
   * @return the sum over all bodies
   */
  public long heldBytes() {
    return heldBytes;
  }

  /**
   * Returns the bound.
   *
   * @return the maximum of the sum, in bytes
   */
  public long maximumBytes() {
    return maximumBytes;
  }

  /**
   * Indicates whether there is room for a further body. A single body always has room; its length
   * is bounded by the configuration.
   *
   * @param bytes the length of the body
   * @return whether the sum stays within the bound
   */
  public boolean hasRoom(long bytes) {
    return bytes == 0 || heldBytes == 0 || heldBytes + bytes <= maximumBytes;
  }

  /**
   * Returns an empty share.
   *
   * @return the share of one request body
   */
  public Share open() {
    return new Share();
  }

  /** The bytes of one request body. */
  public final class Share {

    private long bytes;

    private Share() {}

    /**
     * Records that a body grows, if there is room for it.
     *
     * @param newBytes the bytes that the body will take
     * @return whether there is room; otherwise nothing changes
     */
    public boolean tryGrow(long newBytes) {
      boolean alone = heldBytes == bytes;
      if (newBytes > bytes && !alone && heldBytes - bytes + newBytes > maximumBytes) {
        return false;
      }
      heldBytes += newBytes - bytes;
      bytes = newBytes;
      return true;
    }

    /** Records that the body is not held any more. */
    public void release() {
      heldBytes -= bytes;
      bytes = 0;
    }
  }
}
