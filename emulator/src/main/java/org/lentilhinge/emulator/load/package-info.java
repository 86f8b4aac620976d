/** Runs one entry host against emulators on loopback ports, and generates load for it. */
package org.lentilhinge.emulator.load;
