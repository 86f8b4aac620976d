/**
 * Replays seeded arrivals through the routing, admission, placement and store decisions of the core
 * in virtual time, against simulated engines and a simulated weight store, and compares the results
 * with those of simple baselines.
 */
package org.lentilhinge.replay;
