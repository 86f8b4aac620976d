package org.lentilhinge.runtime.peer;

import java.util.Optional;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;

/**
 * The settings of the links between a host and its peers.
 *
 * @param self this incarnation of the host
 * @param zone the host's availability zone
 * @param address the IP address to listen on
 * @param port the port to listen on, or 0 for any free port
 * @param secret the secret that all entry hosts share
 * @param tls the certificates, or empty for plain TCP
 * @param maximumFrameBytes the maximum size of a frame sent or received, in bytes
 * @param maximumQueuedFrames the maximum number of frames queued on one link
 * @param timings the intervals and timeouts of the links
 */
public record PeerSettings(
    HostIncarnation self,
    ZoneId zone,
    String address,
    int port,
    byte[] secret,
    Optional<PeerTls> tls,
    int maximumFrameBytes,
    int maximumQueuedFrames,
    PeerTimings timings) {

  /** The default maximum size of a frame, in bytes. */
  public static final int DEFAULT_MAXIMUM_FRAME_BYTES = 1_048_576;

  /** The default maximum number of frames queued on one link. */
  public static final int DEFAULT_MAXIMUM_QUEUED_FRAMES = 1_024;

  /**
   * Validates the secret and copies it.
   *
   * @param self this incarnation of the host
   * @param zone the zone
   * @param address the IP address
   * @param port the port
   * @param secret the secret
   * @param tls the certificates, or empty
   * @param maximumFrameBytes the maximum size of a frame, in bytes
   * @param maximumQueuedFrames the maximum number of queued frames
   * @param timings the intervals and timeouts
   * @throws IllegalArgumentException if the secret is empty
   */
  public PeerSettings {
    if (secret.length == 0) {
      throw new IllegalArgumentException("the secret of the peer links is empty");
    }
    secret = secret.clone();
  }
}
