/**
 * Bounds of the bytes that a host holds for slow callers and endpoints. All classes must be used on
 * one event loop.
 */
package org.lentilhinge.runtime.memory;
