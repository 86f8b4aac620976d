package org.lentilhinge.runtime.forward;

/** Names hosts by the IP number at which other hosts reach them; the port is the same on all. */
final class HostNames {

  private HostNames() {}

  static String ofAddress(String address) {
    int colon = address.lastIndexOf(':');
    return colon < 0 ? address : address.substring(0, colon);
  }
}
