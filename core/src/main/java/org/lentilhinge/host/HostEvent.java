package org.lentilhinge.host;

import java.util.List;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.message.PeerMessage;

/** An event that an entry host handles. */
public sealed interface HostEvent {

  /** Advances time; expected several times a second. */
  record Tick() implements HostEvent {}

  /**
   * Reports the platform's list of hosts, or the seeds of the settings before the list is first
   * read.
   *
   * @param hosts the hosts of all zones, including this one
   */
  record HostsListed(List<ListedHost> hosts) implements HostEvent {}

  /**
   * Reports a configuration that has been applied.
   *
   * @param configuration the configuration
   */
  record Configured(Configuration configuration) implements HostEvent {}

  /**
   * Delivers a message from another host.
   *
   * @param from the sender
   * @param message the message
   */
  record MessageReceived(HostId from, PeerMessage message) implements HostEvent {}

  /**
   * Submits a request of a caller, or requests another endpoint for the next attempt of the
   * request.
   *
   * @param request the request
   */
  record AttemptRequested(GatewayRequest request) implements HostEvent {}

  /**
   * Reports that the current attempt of a request has ended or was never written.
   *
   * @param request the request
   * @param result how the attempt ended
   */
  record AttemptEnded(RequestId request, AttemptResult result) implements HostEvent {}

  /**
   * Reports that a request has received its final response or that its caller has disconnected.
   *
   * @param request the request
   */
  record RequestFinished(RequestId request) implements HostEvent {}

  /**
   * Delivers the report of an engine.
   *
   * @param report the report
   */
  record EngineReported(EngineState report) implements HostEvent {}

  /**
   * Reports the outcome of an order to an engine.
   *
   * @param endpoint the engine
   * @param version the adapter version
   * @param load whether the order was a load, otherwise an unload
   * @param outcome the outcome
   */
  record OrderEnded(EndpointId endpoint, AdapterVersion version, boolean load, OrderOutcome outcome)
      implements HostEvent {}

  /**
   * Reports that an endpoint is leaving, according to the platform's list or to the endpoint
   * itself.
   *
   * @param endpoint the endpoint
   */
  record EndpointLeaving(EndpointId endpoint) implements HostEvent {}

  /** Starts the planned stop of this host. */
  record StopRequested() implements HostEvent {}
}
