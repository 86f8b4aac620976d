package org.lentilhinge.runtime.gateway;

import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;

/**
 * The adapter version and urgency that a rule assigns to a request.
 *
 * @param rule the name of the matching rule
 * @param adapter the adapter version
 * @param urgency the urgency
 */
public record Classification(String rule, AdapterVersion adapter, Urgency urgency) {}
