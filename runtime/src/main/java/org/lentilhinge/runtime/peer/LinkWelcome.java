package org.lentilhinge.runtime.peer;

/**
 * The acceptor's response to a hello: its own encoded hello and a signature that proves that it
 * knows the shared secret.
 */
record LinkWelcome(byte[] hello, byte[] signature) {}
