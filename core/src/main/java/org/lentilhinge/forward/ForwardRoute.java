package org.lentilhinge.forward;

import java.util.List;

/**
 * Declares where requests of one host and path prefix go.
 *
 * @param name the route's name
 * @param host the host that requests name, in lower case
 * @param prefix the path prefix, which begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time that a request may take, in milliseconds
 * @param targetMillis the time within which an answer, or a stream's first event, is on time
 * @param priority the rank; 0 is the most urgent
 * @param shares the services that take the requests, at least one
 * @param maximumAttempts the largest number of endpoints that may run one request
 * @param resumable whether a broken stream may go on at another endpoint
 */
public record ForwardRoute(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    long timeoutMillis,
    long targetMillis,
    int priority,
    List<ServiceShare> shares,
    int maximumAttempts,
    boolean resumable) {

  /**
   * Copies the shares.
   *
   * @param name the name
   * @param host the host
   * @param prefix the prefix
   * @param kind the kind
   * @param timeoutMillis the longest time
   * @param targetMillis the time to be on time
   * @param priority the rank
   * @param shares the services
   * @param maximumAttempts the largest number of endpoints
   * @param resumable whether a broken stream may go on
   */
  public ForwardRoute {
    shares = List.copyOf(shares);
  }

  /**
   * Tells whether a request may run again after a run whose outcome is unknown.
   *
   * @return whether it is idempotent
   */
  public boolean isRepeatable() {
    return kind == RequestKind.SAFE || (kind == RequestKind.STREAM && resumable);
  }

  /**
   * Chooses the service of a request by the weights; the same request always gets the same one.
   *
   * @param requestHash a hash of the request's id
   * @return the service's name
   */
  public String service(long requestHash) {
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    long left = total == 0 ? 0 : Long.remainderUnsigned(requestHash, total);
    for (ServiceShare share : shares) {
      if (left < share.weight()) {
        return share.service();
      }
      left -= share.weight();
    }
    return shares.get(0).service();
  }
}
