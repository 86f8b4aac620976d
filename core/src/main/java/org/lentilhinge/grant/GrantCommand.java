package org.lentilhinge.grant;

import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.message.PeerMessage;

/** A command for the gateway that runs {@link GrantCache}. */
public sealed interface GrantCommand {

  /**
   * Sends a message to a host, possibly this host itself.
   *
   * @param to the receiver
   * @param message the message
   */
  record Send(HostId to, PeerMessage message) implements GrantCommand {}

  /**
   * Reports that a waiting request may be dispatched. The request already counts as in flight: the
   * gateway checks {@link GrantCache#mayDispatch} immediately before the write, and calls {@link
   * GrantCache#finish} exactly once, also if the request is not dispatched.
   *
   * @param request the request
   * @param endpoint the endpoint
   * @param version the version
   */
  record Ready(RequestId request, EndpointId endpoint, AdapterVersion version)
      implements GrantCommand {}

  /**
   * Reports that a waiting request gets no grant on this endpoint.
   *
   * @param request the request
   * @param endpoint the endpoint
   * @param version the version
   * @param reason the reason
   * @param retryAfterMillis the delay before a retry, in milliseconds
   * @param owner the host that replied, or that did not reply in time
   */
  record Refused(
      RequestId request,
      EndpointId endpoint,
      AdapterVersion version,
      GrantOutcome reason,
      long retryAfterMillis,
      HostId owner)
      implements GrantCommand {}
}
