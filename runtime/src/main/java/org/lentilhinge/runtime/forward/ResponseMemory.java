package org.lentilhinge.runtime.forward;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Bounds the bytes of responses that a host holds, of all connections together: each may be within
 * its bounds, and their sum exceed the memory of the process. The holder of the most bytes then
 * ends, until the sum is within the bound. Must be used on one event loop.
 */
final class ResponseMemory {

  /** The part of the heap that responses may take; the known state of a large site takes more. */
  private static final int HEAP_PARTS = 4;

  private final long maximumBytes;
  private final EndListener endListener;
  private final Set<Share> shares = new LinkedHashSet<>();
  private long heldBytes;

  /** Learns that a holder ends because all responses together are too long. */
  interface EndListener {

    /** Handles that the holder with an id ends, given the bytes that all held. */
    void onEnd(long heldBytes, String id);
  }

  /**
   * Creates an empty memory.
   *
   * @param maximumBytes the maximum of the sum, in bytes
   */
  ResponseMemory(long maximumBytes) {
    this(maximumBytes, (bytes, id) -> {});
  }

  /**
   * Creates an empty memory.
   *
   * @param maximumBytes the maximum of the sum, in bytes
   * @param endListener learns each time that the largest holder ends
   */
  ResponseMemory(long maximumBytes, EndListener endListener) {
    this.maximumBytes = maximumBytes;
    this.endListener = endListener;
  }

  /** Returns a memory in proportion to the heap of this process. */
  static ResponseMemory ofHeap() {
    return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
  }

  /**
   * Returns an empty share.
   *
   * @param exhaustedHandler drops what the share stands for, as it is the largest one
   */
  Share open(Runnable exhaustedHandler) {
    return open(() -> "-", exhaustedHandler);
  }

  /**
   * Returns an empty share.
   *
   * @param id supplies the id of the request that the share stands for
   * @param exhaustedHandler drops what the share stands for, as it is the largest one
   */
  Share open(Supplier<String> id, Runnable exhaustedHandler) {
    return new Share(id, exhaustedHandler);
  }

  long heldBytes() {
    return heldBytes;
  }

  /** What one holder holds. */
  final class Share {

    private final Supplier<String> id;
    private final Runnable exhaustedHandler;
    private long bytes;
    private boolean exhausted;

    private Share(Supplier<String> id, Runnable exhaustedHandler) {
      this.id = id;
      this.exhaustedHandler = exhaustedHandler;
    }

    /** Records how many bytes are held now. */
    void resize(long newBytes) {
      if (exhausted) {
        return;
      }
      set(newBytes);
      while (heldBytes > maximumBytes) {
        endLargest();
      }
    }

    /** Records that nothing is held any more. */
    void release() {
      resize(0);
    }

    private void set(long newBytes) {
      heldBytes += newBytes - bytes;
      bytes = newBytes;
      if (newBytes > 0) {
        shares.add(this);
      } else {
        shares.remove(this);
      }
    }

    private void end() {
      set(0);
      exhausted = true;
      exhaustedHandler.run();
    }
  }

  private void endLargest() {
    Optional<Share> largest =
        shares.stream().max(Comparator.comparingLong((Share share) -> share.bytes));
    largest.ifPresent(
        share -> {
          endListener.onEnd(heldBytes, share.id.get());
          share.end();
        });
  }
}
