/**
 * Scheduling of engines. The owner of an engine runs its scheduler, which has one queue and decides
 * together which requests run, wait or are refused and which adapters the engine loads and unloads.
 */
package org.lentilhinge.permit;
