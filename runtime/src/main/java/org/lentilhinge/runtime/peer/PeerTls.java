package org.lentilhinge.runtime.peer;

/**
 * The files for mutual TLS on the links, in PEM format.
 *
 * @param certificatePath the file with the host's certificate
 * @param keyPath the file with the private key of the certificate
 * @param trustPath the file with the trusted certificates
 */
public record PeerTls(String certificatePath, String keyPath, String trustPath) {}
