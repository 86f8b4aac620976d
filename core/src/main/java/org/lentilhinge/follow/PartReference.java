package org.lentilhinge.follow;

/**
 * A reference to a part.
 *
 * @param name the part's name, which findings show as the file name
 * @param digest the digest of the part's text
 */
public record PartReference(String name, PartDigest digest) {}
