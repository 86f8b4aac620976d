package org.lentilhinge.demand;

/**
 * The recent demand for an adapter.
 *
 * @param adapter the adapter, qualified by the service of its engines where loads are exchanged
 * @param requestsPerSecond the requests per second, without those that another engine had refused
 * @param load the prefill time of these requests per time, which is the number of engines that they
 *     occupy
 */
public record AdapterLoad(String adapter, double requestsPerSecond, double load) {

  /**
   * Returns the name of an adapter that is unique among the services.
   *
   * @param service the service
   * @param adapter the adapter's name
   * @return the qualified name
   */
  public static String qualify(String service, String adapter) {
    return service + '/' + adapter;
  }

  /**
   * Returns this load for an adapter of a service.
   *
   * @param service the service
   * @return the load, with a qualified name
   */
  public AdapterLoad withService(String service) {
    return new AdapterLoad(qualify(service, adapter), requestsPerSecond, load);
  }
}
