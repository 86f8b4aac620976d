package org.lentilhinge.runtime.settings;

import java.util.Optional;

/**
 * The addresses and credentials of the links between entry hosts.
 *
 * @param listen the IP address and port to listen on
 * @param address the IP address and port at which other hosts reach this host
 * @param secret the secret shared by all hosts, or empty
 * @param tls the files for mutual TLS, or empty
 */
public record PeerSettings(
    String listen, String address, Optional<String> secret, Optional<TlsSettings> tls) {}
