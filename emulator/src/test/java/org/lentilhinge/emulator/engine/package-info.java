/** Tests of the engine client against the emulated engine. */
package org.lentilhinge.emulator.engine;
