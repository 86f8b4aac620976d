package org.lentilhinge.follow;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.configuration.EntryReader;
import org.lentilhinge.configuration.ParsedText;

/** Assembles one published version: tracks which of its texts are known and which are missing. */
final class VersionAssembly {

  private static final String ROOT_NAME = "configuration";

  private final PublishedVersion version;
  private final PartStore store;
  private final EntryReader reader;
  private final Set<PartDigest> needed = new HashSet<>();
  private final Set<PartDigest> missing = new LinkedHashSet<>();
  private final Set<PartDigest> unparsedIndexes = new HashSet<>();
  private boolean rootParsed;

  VersionAssembly(PublishedVersion version, PartStore store, EntryReader reader) {
    this.version = version;
    this.store = store;
    this.reader = reader;
    require(version.root());
    readRoot();
  }

  PublishedVersion version() {
    return version;
  }

  /**
   * Returns the digests of the texts that are still missing. A text to which only a missing text
   * refers is not yet known and is not included.
   */
  Set<PartDigest> missing() {
    return missing;
  }

  /** Returns the digests of all texts of the version that are known so far, present or missing. */
  Set<PartDigest> needed() {
    return needed;
  }

  boolean isComplete() {
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
    if (rootParsed || text.isEmpty()) {
      return;
    }
    rootParsed = true;
    Manifest manifest = Manifest.of(reader.read(ROOT_NAME, text.get()));
    manifest.parts().forEach(reference -> require(reference.digest()));
    for (PartReference reference : manifest.indexes()) {
      unparsedIndexes.add(reference.digest());
      require(reference.digest());
      readIndex(reference.digest());
    }
  }

  private void readIndex(PartDigest digest) {
    Optional<String> text = store.text(digest);
    if (text.isPresent() && unparsedIndexes.remove(digest)) {
      Manifest manifest = Manifest.of(reader.read(digest.value(), text.get()));
      manifest.parts().forEach(reference -> require(reference.digest()));
    }
  }

  private void require(PartDigest digest) {
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
  ParsedText join() {
    String text =
        store
            .text(version.root())
            .orElseThrow(() -> new IllegalStateException("root text is missing"));
    return new PublishedTextJoiner(store, reader).join(ROOT_NAME, text);
  }
}
