package org.lentilhinge.runtime.forward;

/**
 * Derives host names from peer addresses. The name of a host is the IP address at which other hosts
 * reach it; the port is the same on all hosts.
 */
final class HostNames {

  private HostNames() {}

  static String ofAddress(String address) {
    int colon = address.lastIndexOf(':');
    return colon < 0 ? address : address.substring(0, colon);
  }
}
