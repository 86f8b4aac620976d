package org.lentilhinge.runtime.gateway;

/**
 * The listening address of the gateway and the limits for the connections and requests of callers.
 *
 * @param address the IP address to listen on
 * @param port the port to listen on, or 0 to select a free port
 * @param maximumHeaderBytes the maximum total size of the headers of a request, in bytes
 * @param maximumBodyBytes the maximum size of a body, in bytes
 * @param idleTimeoutSeconds the time without traffic after which a connection is closed, in seconds
 */
public record GatewaySettings(
    String address,
    int port,
    int maximumHeaderBytes,
    long maximumBodyBytes,
    int idleTimeoutSeconds) {

  /**
   * Creates settings with the default limits.
   *
   * @param address the IP address to listen on
   * @param port the port to listen on, or 0 to select a free port
   * @return the settings
   */
  public static GatewaySettings of(String address, int port) {
    return new GatewaySettings(address, port, 16_384, 1_048_576, 120);
  }
}
