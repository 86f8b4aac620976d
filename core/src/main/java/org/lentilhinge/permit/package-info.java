/**
 * Scheduling of engines. The owner of an engine runs the engine's scheduler, which has one queue
 * and decides jointly which requests run, wait or are refused and which adapters are loaded and
 * unloaded.
 */
package org.lentilhinge.permit;
