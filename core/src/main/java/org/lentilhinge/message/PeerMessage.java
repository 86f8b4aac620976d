package org.lentilhinge.message;

/**
 * A message between two entry hosts. Each message is a record whose components are numbers,
 * booleans, strings, byte arrays, enumerations, records, optionals, or lists, sets and maps of
 * these, so that one codec can encode all of them.
 */
public interface PeerMessage {}
