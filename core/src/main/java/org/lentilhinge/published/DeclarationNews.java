package org.lentilhinge.published;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.message.PeerMessage;

/**
 * The changes of the declared state between two revisions.
 *
 * @param sinceRevision the revision after which the changes were made; the receiver must know the
 *     state up to it
 * @param revision the revision up to which the changes are complete
 * @param configurationVersion the version of the sender's configuration; a receiver that has an
 *     older one after the change must read the store
 * @param configuration the change of the configuration, if any
 * @param releases the announced versions of adapters
 */
public record DeclarationNews(
    StoreRevision sinceRevision,
    StoreRevision revision,
    DeclaredVersion configurationVersion,
    Optional<ConfigurationChange> configuration,
    List<AdapterRelease> releases)
    implements PeerMessage {

  /**
   * Copies the list.
   *
   * @param sinceRevision the revision after which the changes were made
   * @param revision the revision up to which they are complete
   * @param configurationVersion the version of the sender's configuration
   * @param configuration the change of the configuration
   * @param releases the announced versions
   */
  public DeclarationNews {
    releases = List.copyOf(releases);
  }
}
