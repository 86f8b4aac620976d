package org.lentilhinge.fleet;

import java.util.List;
import org.lentilhinge.identity.StoreRevision;

/**
 * An incarnation of an endpoint, as the endpoint registered it.
 *
 * @param id the endpoint's name, which may stay the same after a restart
 * @param startedAtMillis the time of its start by its own clock, in milliseconds, which
 *     distinguishes the incarnations of an id
 * @param service the service that it belongs to
 * @param address its IP address and port
 * @param zone its availability zone
 * @param state whether it accepts new requests
 * @param acceptedOrders the number of orders that it has accepted in this incarnation
 * @param revision the state of the store after the registration
 * @param models the base models that it has loaded
 * @param softwareVersion the version of its software, without any order
 * @param slots the number of requests that it executes at the same time; 0 if it is not known
 */
public record FleetEndpoint(
    String id,
    long startedAtMillis,
    String service,
    String address,
    String zone,
    EndpointState state,
    long acceptedOrders,
    StoreRevision revision,
    List<String> models,
    String softwareVersion,
    int slots) {

  /**
   * Copies the models.
   *
   * @param id the id
   * @param startedAtMillis the time of the start
   * @param service the service
   * @param address the address
   * @param zone the zone
   * @param state the state
   * @param acceptedOrders the number of accepted orders
   * @param revision the revision
   * @param models the models
   * @param softwareVersion the version of the software
   * @param slots the number of slots
   */
  public FleetEndpoint {
    models = List.copyOf(models);
  }

  /**
   * Returns the name of this incarnation.
   *
   * @return a string that is unique among all incarnations of all endpoints
   */
  public String incarnation() {
    return id + '/' + startedAtMillis;
  }
}
