package org.lentilhinge.follow;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Stores the texts of parts in memory, so that parts can be sent to peers and a new version needs
 * to fetch only the parts that have changed.
 */
public final class PartStore {

  private final Map<PartDigest, String> texts = new HashMap<>();

  /** Creates an empty store. */
  public PartStore() {}

  /**
   * Stores a part.
   *
   * @param part the part
   */
  public void put(Part part) {
    texts.put(part.digest(), part.text());
  }

  /**
   * Returns a part's text.
   *
   * @param digest the part's digest
   * @return the text, or empty if the part is not stored
   */
  public Optional<String> text(PartDigest digest) {
    return Optional.ofNullable(texts.get(digest));
  }

  /**
   * Indicates whether a part is stored.
   *
   * @param digest the part's digest
   * @return whether the part's text is stored
   */
  public boolean contains(PartDigest digest) {
    return texts.containsKey(digest);
  }

  /**
   * Removes all parts except the given ones.
   *
   * @param digests the digests of the parts to keep
   */
  public void retain(Set<PartDigest> digests) {
    texts.keySet().retainAll(digests);
  }

  /**
   * Returns the number of stored parts.
   *
   * @return the number of parts
   */
  public int size() {
    return texts.size();
  }
}
