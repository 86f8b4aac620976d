/** A proxy that repeats the responses of the emulated servers behind it. */
package org.lentilhinge.emulator.proxy;
