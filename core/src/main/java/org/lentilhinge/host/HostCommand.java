package org.lentilhinge.host;

import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.lease.OwnershipLevel;
import org.lentilhinge.membership.MemberState;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.placement.PlacementReason;
import org.lentilhinge.routing.RoutingReason;

/** A command of an entry host to the process that runs it. */
public sealed interface HostCommand {

  /**
   * Sends a message to another host. The message may be lost.
   *
   * @param to the receiver
   * @param message the message
   */
  record Send(HostId to, PeerMessage message) implements HostCommand {}

  /**
   * Writes a request to an engine, provided that {@link EntryHost#mayDispatch} allows it with a
   * freshly read clock. The process reports the end of each attempt.
   *
   * @param request the request
   * @param endpoint the engine
   * @param version the adapter version that the request must run on
   * @param reason why this engine was selected
   * @param waitedMillis the time that the request has waited in this host, in milliseconds
   * @param grantWaitMillis the part of that time spent waiting for the owner's grant, in
   *     milliseconds
   */
  record Dispatch(
      RequestId request,
      EndpointId endpoint,
      AdapterVersion version,
      RoutingReason reason,
      long waitedMillis,
      long grantWaitMillis)
      implements HostCommand {}

  /**
   * Refuses a request at once.
   *
   * @param request the request
   * @param reason the reason
   * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
   */
  record Refuse(RequestId request, RefusalReason reason, long retryAfterMillis)
      implements HostCommand {}

  /**
   * Orders an engine to load a version, provided that {@link EntryHost#mayOrder} allows it with a
   * freshly read clock. The process reports the outcome.
   *
   * @param endpoint the engine
   * @param version the adapter version
   * @param fencing the fencing token of the order
   * @param reason the reason for the order
   */
  record OrderLoad(
      EndpointId endpoint, AdapterVersion version, FencingToken fencing, PlacementReason reason)
      implements HostCommand {}

  /**
   * Orders an engine to unload a version, provided that {@link EntryHost#mayOrder} allows it with a
   * freshly read clock. The process reports the outcome.
   *
   * @param endpoint the engine
   * @param version the adapter version
   * @param fencing the fencing token of the order
   * @param reason the reason for the order
   */
  record OrderUnload(
      EndpointId endpoint, AdapterVersion version, FencingToken fencing, PlacementReason reason)
      implements HostCommand {}

  /**
   * Reads the report of an engine.
   *
   * @param endpoint the engine
   */
  record ReadReport(EndpointId endpoint) implements HostCommand {}

  /**
   * Reports a change of this host's ownership of an endpoint.
   *
   * @param endpoint the endpoint
   * @param previous the previous level
   * @param current the new level
   */
  record OwnershipChanged(EndpointId endpoint, OwnershipLevel previous, OwnershipLevel current)
      implements HostCommand {}

  /**
   * Reports a change of the membership state of another host.
   *
   * @param host the host
   * @param state the new state
   */
  record MemberChanged(HostId host, MemberState state) implements HostCommand {}

  /**
   * Reports that another host has a higher configuration version.
   *
   * @param peer the other host
   * @param version the configuration version of that host
   */
  record ConfigurationAhead(HostId peer, ConfigurationVersion version) implements HostCommand {}

  /**
   * Reports that the planned stop has released all leases and that no request is running or
   * waiting.
   */
  record Released() implements HostCommand {}
}
