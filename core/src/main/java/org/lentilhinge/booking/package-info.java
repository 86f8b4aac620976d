/**
 * Calls of plain services that must not be repeated: each idempotency key runs at most once, and
 * the caller receives a reliable report on whether its call ran.
 */
package org.lentilhinge.booking;
