/**
 * An emulated model engine with continuous batching, adapter slots, priorities, fencing, cancel and
 * resume, and with fault injection. The generated text identifies the adapter version.
 */
package org.lentilhinge.emulator.engine;
