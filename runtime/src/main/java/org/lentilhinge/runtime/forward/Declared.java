package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.forward.ForwardConfiguration;

/**
 * What operators have declared, as far as one reading of the store tells.
 *
 * @param configuration the configuration, if the reading names one that can be read
 * @param releases the announced versions of adapters
 * @param revision the store's revision that the reading reaches
 */
public record Declared(
    Optional<ForwardConfiguration> configuration, List<AdapterRelease> releases, long revision) {}
