package org.lentilhinge.published;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.identity.StoreRevision;

/**
 * The state declared by operators, as returned by one read of the store.
 *
 * @param configuration the configuration, if the read contains a well-formed one
 * @param releases the announced versions of adapters
 * @param revision the store revision up to which the state is current
 */
public record DeclaredState(
    Optional<ForwardConfiguration> configuration,
    List<AdapterRelease> releases,
    StoreRevision revision) {}
