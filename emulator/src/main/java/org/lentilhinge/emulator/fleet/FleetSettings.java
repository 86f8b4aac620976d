package org.lentilhinge.emulator.fleet;

import java.util.Map;
import org.lentilhinge.identity.ZoneId;

/**
 * The size and timing of a loopback fleet.
 *
 * @param hosts the number of entry hosts in each availability zone
 * @param stepMillis the delay between two decoding steps of an engine, in milliseconds
 * @param loadMillis the load time of an adapter in milliseconds
 * @param drainMillis the maximum wait of a planned stop for in-flight requests, in milliseconds
 * @param firstGatewayPort the port of the first host's gateway; 0 uses a free port for each
 */
public record FleetSettings(
    Map<ZoneId, Integer> hosts,
    long stepMillis,
    long loadMillis,
    long drainMillis,
    int firstGatewayPort) {

  /** Three hosts in one availability zone and two in each of the two others. */
  public static final FleetSettings DEFAULT =
      new FleetSettings(
          Map.of(new ZoneId("sofia-1"), 3, new ZoneId("sofia-2"), 2, new ZoneId("plovdiv-1"), 2),
          20,
          250,
          10_000,
          0);

  /**
   * Copies the numbers of hosts.
   *
   * @param hosts the number of hosts in each zone
   * @param stepMillis the delay between an engine's steps
   * @param loadMillis the load time of an adapter
   * @param drainMillis the maximum wait of a planned stop
   * @param firstGatewayPort the port of the first gateway, or 0
   */
  public FleetSettings {
    hosts = Map.copyOf(hosts);
  }

  /**
   * Returns a copy with fixed ports of the gateways.
   *
   * @param port the port of the first host's gateway; each further host uses the next port
   * @return the changed settings
   */
  public FleetSettings withFirstGatewayPort(int port) {
    return new FleetSettings(hosts, stepMillis, loadMillis, drainMillis, port);
  }
}
