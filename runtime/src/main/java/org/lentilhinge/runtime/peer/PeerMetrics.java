package org.lentilhinge.runtime.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Counts the traffic, the dropped messages and the ended links of a host. */
public final class PeerMetrics {

  private static final String PREFIX = "peer.";

  private final Counter sentBytes;
  private final Counter receivedBytes;
  private final Counter sentFrames;
  private final Counter droppedMessages;
  private final Counter unknownMessages;
  private final Counter linksUp;
  private final Map<LinkFailure, Counter> failures = new EnumMap<>(LinkFailure.class);

  /**
   * Registers the counters.
   *
   * @param registry the registry to add the counters to
   */
  public PeerMetrics(MetricRegistry registry) {
    sentBytes = registry.counter(PREFIX + "bytes.sent");
    receivedBytes = registry.counter(PREFIX + "bytes.received");
    sentFrames = registry.counter(PREFIX + "frames.sent");
    droppedMessages = registry.counter(PREFIX + "messages.dropped");
    unknownMessages = registry.counter(PREFIX + "messages.unknown");
    linksUp = registry.counter(PREFIX + "links.up");
    for (LinkFailure failure : LinkFailure.values()) {
      String name = failure.name().toLowerCase(Locale.ROOT);
      failures.put(failure, registry.counter(PREFIX + "links.ended." + name));
    }
  }

  void recordSent(int bytes) {
    sentFrames.inc();
    sentBytes.inc(bytes);
  }

  void recordReceived(int bytes) {
    receivedBytes.inc(bytes);
  }

  void recordDropped(int messages) {
    droppedMessages.inc(messages);
  }

  void recordUnknown() {
    unknownMessages.inc();
  }

  void recordLinkUp() {
    linksUp.inc();
  }

  void recordLinkDown() {
    linksUp.dec();
  }

  void recordEnded(LinkFailure failure) {
    failures.get(failure).inc();
  }

  /**
   * Returns the number of links that ended for a reason, incoming and outgoing links together.
   *
   * @param failure the reason
   * @return the number of links
   */
  public long endedLinks(LinkFailure failure) {
    return failures.get(failure).getCount();
  }

  /**
   * Returns the number of messages dropped because a link was down, its queue was full or the
   * message was too long.
   *
   * @return the number of messages
   */
  public long droppedMessages() {
    return droppedMessages.getCount();
  }

  /**
   * Returns the number of received messages whose type is unknown to this host.
   *
   * @return the number of messages
   */
  public long unknownMessages() {
    return unknownMessages.getCount();
  }

  /**
   * Returns the number of links to peers that are up.
   *
   * @return the number of links
   */
  public long linksUp() {
    return linksUp.getCount();
  }

  /**
   * Returns the number of bytes sent, including frame headers.
   *
   * @return the number of bytes
   */
  public long sentBytes() {
    return sentBytes.getCount();
  }

  /**
   * Returns the number of bytes received, including frame headers.
   *
   * @return the number of bytes
   */
  public long receivedBytes() {
    return receivedBytes.getCount();
  }
}
