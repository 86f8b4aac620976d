package org.lentilhinge.forward;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * How a response on a connection matches the request in flight there. A faulty peer may send
 * further responses to former requests, so that neither the order of responses nor the absence of a
 * name proves anything.
 */
public enum ResponseMatch {
  /** The response belongs to the request: it names the request, and nothing else. */
  NAMED(true),
  /**
   * The response belongs to the request: this is the first request of the connection and its first
   * response, and either the request has no id or the response is a failure that names no request.
   * A peer that fails may not have read which request it was.
   */
  EXCLUSIVE(true),
  /** The response belongs to the request: the peer names none, and has sent none too much. */
  ORDERED(true),
  /** The response names another request, or several. */
  OTHER(false),
  /** The response names no request, and could belong to another one. */
  UNKNOWN(false);

  private final boolean match;

  ResponseMatch(boolean match) {
    this.match = match;
  }

  /**
   * Indicates whether the response certainly belongs to the request in flight. No other response
   * may be used.
   *
   * @return whether it belongs to the request
   */
  public boolean isMatch() {
    return match;
  }

  /**
   * Returns how a response matches the request in flight.
   *
   * @param requestId the id of the request in flight, if it has one
   * @param namedIds the ids of requests in the response; blank ones name no request
   * @param success whether the response states a success
   * @param exclusive whether the connection has carried no other request, and has received no other
   *     response than interim ones
   * @return the match
   */
  public static ResponseMatch of(
      Optional<String> requestId, Collection<String> namedIds, boolean success, boolean exclusive) {
    if (requestId.isEmpty()) {
      return exclusive ? EXCLUSIVE : UNKNOWN;
    }
    Set<String> named =
        namedIds.stream().filter(id -> !id.isBlank()).collect(Collectors.toUnmodifiableSet());
    if (named.isEmpty()) {
      return exclusive && !success ? EXCLUSIVE : UNKNOWN;
    }
    return named.equals(Set.of(requestId.get())) ? NAMED : OTHER;
  }
}
