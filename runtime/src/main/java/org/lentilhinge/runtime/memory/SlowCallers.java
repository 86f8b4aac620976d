package org.lentilhinge.runtime.memory;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides how far a host reads on for callers that accept their responses slowly. Endpoints abort
 * responses that stay unread for some seconds, so that a host reads on up to a bound for each
 * caller and a bound for all callers together. Beyond these a response waits for its caller.
 */
public final class SlowCallers {

  /**
   * The room below the bound of a caller at which its response is read again: small, so that the
   * endpoint sees progress as long as the caller makes any.
   */
  private static final long RESUME_BYTES = 65_536;

  /**
   * The bytes that each caller may always hold: otherwise callers that accept everything at once
   * would wait for others, once these exceed the bound of all callers.
   */
  private static final long QUEUE_BYTES = 65_536;

  private final long maximumBytes;
  private final long maximumCallerBytes;
  private final Set<Output> holding = new LinkedHashSet<>();
  private final Set<Output> waiting = new LinkedHashSet<>();
  private long heldBytes;

  /**
   * Creates bounds of callers that have accepted everything.
   *
   * @param maximumBytes the maximum of the bytes that all callers together have not accepted
   * @param maximumCallerBytes the maximum of the bytes that one caller has not accepted
   */
  public SlowCallers(long maximumBytes, long maximumCallerBytes) {
    this.maximumBytes = maximumBytes;
    this.maximumCallerBytes = maximumCallerBytes;
  }

  /** The connection of a caller. */
  public interface Connection {

    /**
     * Returns how much of the data that is sent next was accepted.
     *
     * @return a number of bytes, which changes whenever the caller reads
     */
    long progress();

    /** Closes the connection, as its caller reads nothing. */
    void onStalled();
  }

  /**
   * Returns the bytes that are held now.
   *
   * @return the sum over all callers
   */
  public long heldBytes() {
    return heldBytes;
  }

  /**
   * Returns the output of a new connection.
   *
   * @param connection the connection
   * @param stallMillis the time without any progress after which the connection is closed, in
   *     milliseconds
   * @return the output, which is empty
   */
  public Output open(Connection connection, long stallMillis) {
    return new Output(connection, stallMillis);
  }

  /**
   * Closes the connections whose callers have read nothing for too long.
   *
   * @param nowMillis the time, in milliseconds
   */
  public void closeStalled(long nowMillis) {
    List.copyOf(holding).forEach(output -> output.checkProgress(nowMillis));
  }

  private void resumeWaiting() {
    for (Output output : List.copyOf(waiting)) {
      output.resumeIfPossible();
    }
  }

  /** What was written to one caller and not accepted by it. */
  public final class Output {

    private final Connection connection;
    private long stallMillis;
    private Optional<Runnable> resumption = Optional.empty();
    private long bytes;
    private long progress;
    private long progressAtMillis;

    private Output(Connection connection, long stallMillis) {
      this.connection = connection;
      this.stallMillis = stallMillis;
    }

    /**
     * Changes the time without any progress after which the connection is closed.
     *
     * @param millis the time, in milliseconds
     */
    public void setStallMillis(long millis) {
      stallMillis = millis;
    }

    /**
     * Records how many bytes are held now.
     *
     * @param newBytes the number of bytes that the caller has not accepted
     * @param nowMillis the time, in milliseconds
     */
    public void resize(long newBytes, long nowMillis) {
      if (bytes == 0 || newBytes < bytes) {
        progressAtMillis = nowMillis;
      }
      boolean less = newBytes < bytes;
      heldBytes += newBytes - bytes;
      bytes = newBytes;
      if (newBytes > 0) {
        holding.add(this);
      } else {
        holding.remove(this);
      }
      if (less) {
        resumeIfPossible();
        if (heldBytes <= maximumBytes && !waiting.isEmpty()) {
          resumeWaiting();
        }
      }
    }

    /**
     * Indicates whether the response must not be read any further for now.
     *
     * @return whether a bound is exceeded
     */
    public boolean isCongested() {
      return bytes > maximumCallerBytes || heldBytes > maximumBytes && bytes > QUEUE_BYTES;
    }

    /**
     * Runs a task once the response may be read again; a later task replaces it.
     *
     * @param task continues to read
     */
    public void onUncongested(Runnable task) {
      resumption = Optional.of(task);
      waiting.add(this);
    }

    /** Drops the task of a connection that was closed. */
    public void close() {
      resumption = Optional.empty();
      waiting.remove(this);
    }

    private void resumeIfPossible() {
      boolean room = bytes <= Math.max(0, maximumCallerBytes - RESUME_BYTES);
      if (resumption.isPresent() && room && !isCongested()) {
        Runnable task = resumption.get();
        close();
        task.run();
      }
    }

    private void checkProgress(long nowMillis) {
      long newProgress = connection.progress();
      if (newProgress != progress) {
        progress = newProgress;
        progressAtMillis = nowMillis;
      } else if (nowMillis - progressAtMillis > stallMillis) {
        connection.onStalled();
      }
    }
  }
}
