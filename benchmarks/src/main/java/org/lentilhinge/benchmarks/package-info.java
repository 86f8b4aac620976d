/**
 * Benchmarks (JMH) of the routing and placement decisions, and measurements of overhead and memory.
 */
package org.lentilhinge.benchmarks;
