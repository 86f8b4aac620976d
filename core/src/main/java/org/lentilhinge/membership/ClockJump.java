package org.lentilhinge.membership;

/**
 * A pause of the process or a jump of its clock, after which all state received from other hosts is
 * stale.
 *
 * @param gapMillis the length of the gap, in milliseconds
 */
public record ClockJump(long gapMillis) {}
