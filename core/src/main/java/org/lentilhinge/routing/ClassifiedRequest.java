package org.lentilhinge.routing;

import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.CallerId;

/**
 * The adapter version and base model that a request runs on, as determined by the caller's rules.
 *
 * @param caller the caller
 * @param rule the name of the matching rule
 * @param version the adapter version that the request must run on
 * @param baseModel the base model of the adapter
 * @param adapterBytes the size of the adapter's weights in bytes
 * @param urgency the urgency of the request
 */
public record ClassifiedRequest(
    CallerId caller,
    String rule,
    AdapterVersion version,
    BaseModelId baseModel,
    long adapterBytes,
    Urgency urgency) {}
