package org.lentilhinge.permit;

/** Selects the permits, and the requests for them, that have ended without being returned. */
@FunctionalInterface
public interface EndedPermits {

  /**
   * The time for the end of a request at its deadline to take effect, in milliseconds: hosts and
   * engines stop at the deadline.
   */
  long DEADLINE_MARGIN_MILLIS = 2_000;

  /**
   * Indicates whether a permit has ended.
   *
   * @param host the host that sent the permit request
   * @param request the permit request
   * @param ageMillis the time since the arrival of the request or the grant of the permit, in
   *     milliseconds
   * @return whether the host neither awaits nor holds it any more
   */
  boolean contains(String host, PermitRequest request, long ageMillis);

  /**
   * Selects the permits of a host that failed or left.
   *
   * @param failedHost the host
   * @return all its permits
   */
  static EndedPermits ofHost(String failedHost) {
    return (host, request, ageMillis) -> host.equals(failedHost);
  }

  /**
   * Selects the permits that a host does not state.
   *
   * @param statingHost the host
   * @param open the permits that it awaits or holds
   * @return its other permits
   */
  static EndedPermits notStated(String statingHost, OpenPermits open) {
    return (host, request, ageMillis) ->
        host.equals(statingHost) && open.excludes(request.permitId());
  }

  /**
   * Selects the permits of requests whose time has passed, for hosts that make no statements.
   *
   * @return the permits that are held for longer than their requests may take
   */
  static EndedPermits expired() {
    return (host, request, ageMillis) ->
        ageMillis > request.remainingMillis() + DEADLINE_MARGIN_MILLIS;
  }
}
