package org.lentilhinge.runtime.settings;

/**
 * The address at which callers, operators and the load balancer reach the host.
 *
 * @param listen the IP address and port to listen on
 */
public record GatewaySettings(String listen) {}
