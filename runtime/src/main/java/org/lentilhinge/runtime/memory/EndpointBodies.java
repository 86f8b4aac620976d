package org.lentilhinge.runtime.memory;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * Bounds the bytes of request bodies that this host has sent to an endpoint and that are not yet
 * passed to the operating system: an endpoint that does not read would otherwise take the memory
 * for the bodies of all others.
 */
public final class EndpointBodies {

  private final long maximumBytes;
  private final Map<String, Long> sending = new HashMap<>();

  /**
   * Creates bounds of endpoints that are sent nothing yet.
   *
   * @param maximumBytes the maximum for each endpoint, in bytes
   */
  public EndpointBodies(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /**
   * Returns the bound.
   *
   * @return the maximum for each endpoint, in bytes
   */
  public long maximumBytes() {
    return maximumBytes;
  }

  /**
   * Returns the bytes that an endpoint has not accepted yet.
   *
   * @param endpoint the incarnation of the endpoint
   * @return the sum over all bodies
   */
  public long sendingBytes(String endpoint) {
    return sending.getOrDefault(endpoint, 0L);
  }

  /**
   * Returns the body of a request, which is sent to one endpoint at a time.
   *
   * @param bytes the length of the body
   * @param refusalListener receives the bytes that the endpoint has not accepted, the first time
   *     that an endpoint has no room for the body
   * @return the body
   */
  public Body open(long bytes, LongConsumer refusalListener) {
    return new Body(bytes, refusalListener);
  }

  /** The body of one request. */
  public final class Body {

    private final long bytes;
    private final LongConsumer refusalListener;
    private Optional<String> receiver = Optional.empty();
    private boolean refused;

    private Body(long bytes, LongConsumer refusalListener) {
      this.bytes = bytes;
      this.refusalListener = refusalListener;
    }

    /**
     * Indicates whether an endpoint has room for the body. An endpoint that has accepted all former
     * bodies has room for any body, as the length of each is bounded by the configuration.
     *
     * @param endpoint the incarnation of the endpoint
     * @return whether the body may be sent
     */
    public boolean hasRoom(String endpoint) {
      long before = sendingBytes(endpoint);
      boolean room = bytes == 0 || before == 0 || before + bytes <= maximumBytes;
      if (!room && !refused) {
        refused = true;
        refusalListener.accept(before);
      }
      return room;
    }

    /**
     * Indicates whether any endpoint had no room for the body.
     *
     * @return whether an endpoint was passed over
     */
    public boolean isRefused() {
      return refused;
    }

    /**
     * Records that the body is being sent.
     *
     * @param endpoint the incarnation of the endpoint
     */
    public void begin(String endpoint) {
      end();
      if (bytes > 0) {
        receiver = Optional.of(endpoint);
        sending.merge(endpoint, bytes, Long::sum);
      }
    }

    /** Records that the body was accepted, or that the attempt has ended. */
    public void end() {
      receiver.ifPresent(
          endpoint ->
              sending.computeIfPresent(
                  endpoint, (unused, held) -> held > bytes ? held - bytes : null));
      receiver = Optional.empty();
    }
  }
}
