package org.lentilhinge.quarantine;

import java.util.Collection;
import java.util.Set;

/**
 * The property of the requests that a quarantine refuses: all of some prompt parts, or a digest.
 *
 * @param parts the parts; empty if the key is a digest
 * @param digest the digest; an empty string if the key consists of parts
 */
record QuarantineKey(Set<String> parts, String digest) {

  QuarantineKey {
    parts = Set.copyOf(parts);
  }

  static QuarantineKey ofParts(Collection<String> parts) {
    return new QuarantineKey(Set.copyOf(parts), "");
  }

  static QuarantineKey ofDigest(String digest) {
    return new QuarantineKey(Set.of(), digest);
  }

  boolean isEmpty() {
    return parts.isEmpty() && digest.isEmpty();
  }

  boolean matches(Collection<String> requestParts, String requestDigest) {
    return digest.isEmpty() ? requestParts.containsAll(parts) : digest.equals(requestDigest);
  }
}
