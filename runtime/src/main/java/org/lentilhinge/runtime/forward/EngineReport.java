package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Map;

/**
 * What an engine says of itself, some hundred milliseconds old.
 *
 * @param orders the number of orders that it has accepted
 * @param models the base models that it holds
 * @param adapters the versions of the adapters that it holds, by name
 * @param coming the versions of the adapters that are on their way, by name
 */
public record EngineReport(
    long orders, List<String> models, Map<String, Long> adapters, Map<String, Long> coming) {}
