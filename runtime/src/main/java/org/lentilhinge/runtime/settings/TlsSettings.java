package org.lentilhinge.runtime.settings;

/**
 * The PEM files for mutual TLS between entry hosts.
 *
 * @param certificateFile the certificate of the host
 * @param keyFile the private key of the certificate
 * @param authorityFile the certificate of the authority that signs the certificates of all hosts
 */
public record TlsSettings(String certificateFile, String keyFile, String authorityFile) {}
