package org.lentilhinge.forward;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * How a response that was received on a connection matches the request in flight there. A faulty
 * peer may send further responses to former requests, so that neither the order of responses nor
 * the absence of a name proves anything.
 */
public enum ResponseMatch {
  /** The request in flight: the response names it, and nothing else. */
  NAMED(true),
  /**
   * The request in flight: the response names no request, but this is the first request of the
   * connection and its first response.
   */
  EXCLUSIVE(true),
  /** The request in flight: the peer is known to respond to each request once, in order. */
  ORDERED(true),
  /** Another request, or several: the response names them. */
  OTHER(false),
  /** Unknown: the response names no request, and the connection has carried several. */
  UNKNOWN(false);

  private final boolean requestInFlight;

  ResponseMatch(boolean requestInFlight) {
    this.requestInFlight = requestInFlight;
  }

  /**
   * Indicates whether the response certainly belongs to the request in flight. No other response
   * may be used.
   *
   * @return whether it belongs to the request
   */
  public boolean isMatch() {
    return requestInFlight;
  }

  /**
   * Returns how a response matches the request in flight.
   *
   * @param requestId the id of the request in flight, if it has one
   * @param namedIds the ids of requests in the response; blank ones name no request
   * @param exclusive whether the connection has carried no other request, and has received no other
   *     response than interim ones
   * @return the match
   */
  public static ResponseMatch of(
      Optional<String> requestId, Collection<String> namedIds, boolean exclusive) {
    Set<String> named =
        namedIds.stream().filter(id -> !id.isBlank()).collect(Collectors.toUnmodifiableSet());
    if (named.isEmpty()) {
      return exclusive ? EXCLUSIVE : UNKNOWN;
    }
    return requestId.map(Set::of).filter(named::equals).isPresent() ? NAMED : OTHER;
  }
}
