package org.lentilhinge.follow;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.configuration.EntryReader;

/**
 * Selects the version to assemble: the latest offered version, unless its parts do not arrive and
 * peers have an earlier version that is later than the applied version.
 */
final class AssemblySelector {

  private final PartStore store;
  private final EntryReader reader;
  private final long stallTimeoutMillis;
  private Optional<VersionAssembly> current = Optional.empty();
  private Optional<PublishedVersion> postponed = Optional.empty();
  private long progressAtMillis;

  AssemblySelector(PartStore store, EntryReader reader, long stallTimeoutMillis) {
    this.store = store;
    this.reader = reader;
    this.stallTimeoutMillis = stallTimeoutMillis;
  }

  Optional<VersionAssembly> current() {
    return current;
  }

  Optional<VersionAssembly> completeAssembly() {
    return current.filter(VersionAssembly::isComplete);
  }

  /**
   * Starts to assemble a version if no version is being assembled, or if the version is later than
   * the current one and not postponed.
   */
  void offer(PublishedVersion version, long nowMillis) {
    boolean later = current.isEmpty() || version.isAfter(current.get().version());
    if (later && !postponed.equals(Optional.of(version))) {
      postponed = postponed.filter(postponedVersion -> postponedVersion.isAfter(version));
      begin(version, nowMillis);
    }
  }

  private void begin(PublishedVersion version, long nowMillis) {
    current = Optional.of(new VersionAssembly(version, store, reader));
    progressAtMillis = nowMillis;
  }

  boolean isMissing(PartDigest digest) {
    return current.isPresent() && current.get().missing().contains(digest);
  }

  void receive(PartDigest digest, long nowMillis) {
    if (current.isPresent() && current.get().receive(digest)) {
      progressAtMillis = nowMillis;
    }
  }

  boolean isStalled(long nowMillis) {
    return current.isPresent() && nowMillis - progressAtMillis >= stallTimeoutMillis;
  }

  /**
   * Postpones the stalled version and assembles the latest earlier version that a peer has, if it
   * is later than the applied version. Without such a version the stall timeout starts again.
   */
  void postpone(PeerVersions peers, PublishedVersion appliedVersion, long nowMillis) {
    PublishedVersion stalled = current.orElseThrow().version();
    Optional<PublishedVersion> earlier =
        peers.latestBefore(stalled).filter(version -> version.isAfter(appliedVersion));
    if (earlier.isPresent()) {
      postponed = Optional.of(stalled);
      begin(earlier.get(), nowMillis);
    } else {
      progressAtMillis = nowMillis;
    }
  }

  /** Ends the current assembly, and resumes the postponed version if there is one. */
  void finish(long nowMillis) {
    current = Optional.empty();
    Optional<PublishedVersion> next = postponed;
    postponed = Optional.empty();
    next.ifPresent(version -> begin(version, nowMillis));
  }

  void dropUnlessAfter(PublishedVersion appliedVersion) {
    current = current.filter(assembly -> assembly.version().isAfter(appliedVersion));
  }

  /**
   * Returns the digests of the texts of an assembled version and of the version that is being
   * assembled.
   */
  Set<PartDigest> digestsToRetain(VersionAssembly assembly) {
    Set<PartDigest> needed = new HashSet<>(assembly.needed());
    current.ifPresent(next -> needed.addAll(next.needed()));
    return needed;
  }
}
