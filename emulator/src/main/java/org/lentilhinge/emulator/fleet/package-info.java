/**
 * Runs a small complete system in one process on loopback ports: entry hosts with emulated engines,
 * services and platform. The trial and the end-to-end tests use this package.
 */
package org.lentilhinge.emulator.fleet;
