package org.lentilhinge.fleet;

import java.util.List;

/**
 * Describes one life of an endpoint as it registered itself.
 *
 * @param id the endpoint's name, which a restart may keep
 * @param startedMillis the time of its start by its own clock, which tells lives of one id apart
 * @param service the service that it serves
 * @param address its IP number and port
 * @param zone its availability zone
 * @param state whether it takes new work
 * @param orders the number of orders that it has accepted in this life
 * @param revision the store's revision of the registration; it only rises
 * @param models the base models that it holds
 */
public record FleetEndpoint(
    String id,
    long startedMillis,
    String service,
    String address,
    String zone,
    EndpointState state,
    long orders,
    long revision,
    List<String> models) {

  /**
   * Copies the models.
   *
   * @param id the id
   * @param startedMillis the start
   * @param service the service
   * @param address the address
   * @param zone the zone
   * @param state the state
   * @param orders the number of orders
   * @param revision the revision
   * @param models the models
   */
  public FleetEndpoint {
    models = List.copyOf(models);
  }

  /**
   * Names this life.
   *
   * @return a text that no other life of any endpoint has
   */
  public String life() {
    return id + '/' + startedMillis;
  }
}
