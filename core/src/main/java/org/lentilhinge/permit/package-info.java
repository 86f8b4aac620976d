/**
 * One queue for each engine, kept by the host that holds the engine: it decides together who runs,
 * who waits, who is refused, and which adapters the engine loads and unloads.
 */
package org.lentilhinge.permit;
