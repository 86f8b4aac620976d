package org.lentilhinge.forward;

import java.util.List;

/**
 * A route, which declares the services to which requests for one host and path prefix are
 * forwarded.
 *
 * @param name the route's name
 * @param host the host name in the request's Host header, in lower case
 * @param prefix the path prefix, which starts and ends with a slash
 * @param kind whether requests may be repeated
 * @param timeoutMillis the timeout of a request, in milliseconds
 * @param targetMillis the target time for a response or the first event of a stream, in
 *     milliseconds
 * @param priority the priority; 0 is the most urgent
 * @param shares the services and their shares of the requests, at least one
 * @param maximumAttempts the maximum number of endpoints that may run the same request
 * @param resumable whether a broken stream may be resumed at another endpoint
 * @param publicAccess whether requests need no key
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
    boolean resumable,
    boolean publicAccess) {

  /**
   * Copies the shares.
   *
   * @param name the name
   * @param host the host
   * @param prefix the prefix
   * @param kind the kind
   * @param timeoutMillis the timeout
   * @param targetMillis the target time
   * @param priority the priority
   * @param shares the shares
   * @param maximumAttempts the maximum number of endpoints
   * @param resumable whether a broken stream may be resumed
   * @param publicAccess whether requests need no key
   */
  public ForwardRoute {
    shares = List.copyOf(shares);
  }

  /**
   * Returns whether a request may run again after an attempt whose outcome is unknown.
   *
   * @return whether the request is idempotent or its stream can be resumed
   */
  public boolean isRepeatable() {
    return kind == RequestKind.SAFE || (kind == RequestKind.STREAM && resumable);
  }

  /**
   * Selects the service of a request by the weights of the shares. Equal hashes select the same
   * service.
   *
   * @param requestHash a hash of the request's id
   * @return the service's name
   */
  public String selectService(long requestHash) {
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    long remainder = total == 0 ? 0 : Long.remainderUnsigned(requestHash, total);
    for (ServiceShare share : shares) {
      if (remainder < share.weight()) {
        return share.service();
      }
      remainder -= share.weight();
    }
    return shares.get(0).service();
  }
}
