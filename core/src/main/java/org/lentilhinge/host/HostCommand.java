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

/** Orders something of the process that runs an entry host. */
public sealed interface HostCommand {

  /**
   * Sends a message to another host. It may get lost.
   *
   * @param to the receiver
   * @param message the message
   */
  record Send(HostId to, PeerMessage message) implements HostCommand {}

  /**
   * Writes a request to an engine, after {@link EntryHost#mayDispatch} has been asked with a
   * freshly read clock, and reports each ending.
   *
   * @param request the request
   * @param endpoint the engine
   * @param version the version that it must run on
   * @param reason why this engine
   * @param waitedMillis how long the request has waited in this host, in milliseconds
   * @param stalledMillis how much of it was a wait for the owner's grant, in milliseconds
   */
  record Dispatch(
      RequestId request,
      EndpointId endpoint,
      AdapterVersion version,
      RoutingReason reason,
      long waitedMillis,
      long stalledMillis)
      implements HostCommand {}

  /**
   * Refuses a request at once.
   *
   * @param request the request
   * @param reason the reason
   * @param retryAfterMillis when the caller may come back, in milliseconds from now
   */
  record Refuse(RequestId request, RefusalReason reason, long retryAfterMillis)
      implements HostCommand {}

  /**
   * Orders an engine to load a version, after {@link EntryHost#mayOrder} has been asked with a
   * freshly read clock, and reports the ending.
   *
   * @param endpoint the engine
   * @param version the version
   * @param fencing the order's fencing number
   * @param reason why
   */
  record OrderLoad(
      EndpointId endpoint, AdapterVersion version, FencingToken fencing, PlacementReason reason)
      implements HostCommand {}

  /**
   * Orders an engine to unload a version, after {@link EntryHost#mayOrder} has been asked with a
   * freshly read clock, and reports the ending.
   *
   * @param endpoint the engine
   * @param version the version
   * @param fencing the order's fencing number
   * @param reason why
   */
  record OrderUnload(
      EndpointId endpoint, AdapterVersion version, FencingToken fencing, PlacementReason reason)
      implements HostCommand {}

  /**
   * Reads an engine's report.
   *
   * @param endpoint the engine
   */
  record ReadReport(EndpointId endpoint) implements HostCommand {}

  /**
   * Tells that this host's right over an endpoint has changed.
   *
   * @param endpoint the endpoint
   * @param previous the level before
   * @param current the level now
   */
  record OwnershipChanged(EndpointId endpoint, OwnershipLevel previous, OwnershipLevel current)
      implements HostCommand {}

  /**
   * Tells that what is known about another host has changed.
   *
   * @param host the host
   * @param state its state
   */
  record MemberChanged(HostId host, MemberState state) implements HostCommand {}

  /**
   * Tells that another host has a higher configuration version.
   *
   * @param peer the host
   * @param version its version
   */
  record ConfigurationAhead(HostId peer, ConfigurationVersion version) implements HostCommand {}

  /** Tells that a planned stop has released all that this host held. */
  record Released() implements HostCommand {}
}
