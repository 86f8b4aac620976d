package org.lentilhinge.runtime.engine;

import io.vertx.core.net.HostAndPort;

/** Parses addresses of the form {@code IP:PORT}. */
public final class Addresses {

  private Addresses() {}

  /**
   * Parses an address.
   *
   * @param address the IP address and port, separated by a colon
   * @return the IP address and the port
   * @throws IllegalArgumentException if the address is malformed or has no port
   */
  public static HostAndPort parse(String address) {
    HostAndPort parsed = HostAndPort.parseAuthority(address, -1);
    if (parsed == null || parsed.port() < 0) {
      throw new IllegalArgumentException("invalid address: '" + address + "'");
    }
    return parsed;
  }
}
