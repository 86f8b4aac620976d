package org.lentilhinge.runtime.peer;

/**
 * The acceptor's response to a hello: its own encoded hello and a signature, which proves knowledge
 * of the shared secret.
 */
record LinkWelcome(byte[] hello, byte[] signature) {}
