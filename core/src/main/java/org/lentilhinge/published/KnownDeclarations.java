package org.lentilhinge.published;

import java.util.Optional;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;

/** The operators' declarations that a host knows, from its own reads or from news. */
public final class KnownDeclarations {

  private Optional<ForwardConfiguration> configuration = Optional.empty();
  private boolean complete;
  private StoreRevision revision = StoreRevision.NONE;

  /** Creates an empty state. */
  public KnownDeclarations() {}

  /**
   * Returns the revision after which this host has to await changes.
   *
   * @return the revision, or empty if the complete state has to be read
   */
  public Optional<StoreRevision> awaitedRevision() {
    return complete ? Optional.of(revision) : Optional.empty();
  }

  /** Records that changes may have been missed, so that the complete state has to be read. */
  public void invalidate() {
    complete = false;
  }

  /**
   * Updates the state by a read of this host.
   *
   * @param sinceRevision the revision after which changes were awaited, or {@link
   *     StoreRevision#NONE} for the complete state
   * @param read what was read
   * @return the news for other hosts; a first configuration is not sent, as hosts without one read
   *     the store themselves
   */
  public DeclarationNews update(StoreRevision sinceRevision, DeclaredState read) {
    Optional<ConfigurationChange> change =
        read.configuration()
            .flatMap(
                next ->
                    configuration
                        .filter(former -> former.version().isBefore(next.version()))
                        .map(former -> ConfigurationChange.between(former, next)));
    read.configuration().filter(this::isNewer).ifPresent(next -> configuration = Optional.of(next));
    // A read of a former era, answered late, says nothing of the changes in this one.
    complete |= read.revision().era() >= revision.era();
    revision = revision.latest(read.revision());
    return new DeclarationNews(sinceRevision, read.revision(), version(), change, read.releases());
  }

  private boolean isNewer(ForwardConfiguration next) {
    return version().isBefore(next.version());
  }

  private DeclaredVersion version() {
    return configuration.map(ForwardConfiguration::version).orElse(DeclaredVersion.NONE);
  }

  /**
   * Applies news of another host.
   *
   * @param news the news
   * @return what has changed as far as this host can tell; a newer configuration is missing if the
   *     change is not based on the known one
   */
  public DeclaredState apply(DeclarationNews news) {
    Optional<ForwardConfiguration> next =
        news.configuration().flatMap(change -> configuration.flatMap(change::applyTo));
    next.ifPresent(changed -> configuration = next);
    if (isUpToDate(news)) {
      revision = revision.latest(news.revision());
    }
    return new DeclaredState(next, news.releases(), news.revision());
  }

  /**
   * Returns whether this host knows all that the sender of news knows.
   *
   * @param news the news, after they were applied
   * @return whether this host need not read the store
   */
  public boolean isUpToDate(DeclarationNews news) {
    return complete
        && !revision.isBefore(news.sinceRevision())
        && !version().isBefore(news.configurationVersion());
  }
}
