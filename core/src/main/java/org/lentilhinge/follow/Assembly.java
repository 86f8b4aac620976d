package org.lentilhinge.follow;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.configuration.EntryReader;
import org.lentilhinge.configuration.EntryText;

/** Assembles one published version: tracks which of its texts are known and which are missing. */
final class Assembly {

  private static final String ROOT_NAME = "configuration";

  private final PublishedVersion version;
  private final PartStore store;
  private final EntryReader reader;
  private final Set<PartDigest> needed = new HashSet<>();
  private final Set<PartDigest> missing = new LinkedHashSet<>();
  private final Set<PartDigest> unreadIndexes = new HashSet<>();
  private boolean rootRead;

  Assembly(PublishedVersion version, PartStore store, EntryReader reader) {
    this.version = version;
    this.store = store;
    this.reader = reader;
    need(version.root());
    readRoot();
  }

  PublishedVersion version() {
    return version;
  }

  /**
   * Returns the digests of the texts that are still missing. Texts that only a missing text refers
   * to are not yet known and not included.
   */
  Set<PartDigest> missing() {
    return missing;
  }

  /** Returns the digests of all texts of the version that are known so far, present or missing. */
  Set<PartDigest> needed() {
    return needed;
  }

  boolean isWhole() {
    return missing.isEmpty();
  }

  /**
   * Records that a text has been added to the store, and reads its references if it has any.
   *
   * @param digest the text's digest
   * @return whether the text was missing from this version
   */
  boolean receive(PartDigest digest) {
    if (!missing.remove(digest)) {
      return false;
    }
    readRoot();
    readIndex(digest);
    return true;
  }

  private void readRoot() {
    Optional<String> text = store.text(version.root());
    if (rootRead || text.isEmpty()) {
      return;
    }
    rootRead = true;
    Manifest manifest = Manifest.of(reader.read(ROOT_NAME, text.get()));
    manifest.parts().forEach(reference -> need(reference.digest()));
    for (PartReference reference : manifest.indexes()) {
      unreadIndexes.add(reference.digest());
      need(reference.digest());
      readIndex(reference.digest());
    }
  }

  private void readIndex(PartDigest digest) {
    Optional<String> text = store.text(digest);
    if (text.isPresent() && unreadIndexes.remove(digest)) {
      Manifest manifest = Manifest.of(reader.read(digest.value(), text.get()));
      manifest.parts().forEach(reference -> need(reference.digest()));
    }
  }

  private void need(PartDigest digest) {
    needed.add(digest);
    if (!store.contains(digest)) {
      missing.add(digest);
    }
  }

  /**
   * Joins all texts of the version.
   *
   * @return the entries of the complete configuration, and the findings about the syntax of its
   *     texts
   * @throws IllegalStateException if the root text is missing
   */
  EntryText join() {
    String text =
        store
            .text(version.root())
            .orElseThrow(() -> new IllegalStateException("root text is missing"));
    return new WholeText(store, reader).join(ROOT_NAME, text);
  }
}
