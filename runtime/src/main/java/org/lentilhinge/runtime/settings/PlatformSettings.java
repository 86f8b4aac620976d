package org.lentilhinge.runtime.settings;

import java.util.Optional;

/**
 * The locations of the platform's services.
 *
 * @param configurationService the IP address and port of the configuration service
 * @param configurationKey the key under which the configuration is published
 * @param hostList the IP address and port of the list of hosts, or empty if there is none
 * @param weightPath the path at which engines find the weights of an adapter, with the placeholders
 *     {@code {adapter}} and {@code {version}}
 */
public record PlatformSettings(
    String configurationService,
    String configurationKey,
    Optional<String> hostList,
    String weightPath) {}
