/** Findings: the problems in a file, each with its place, collected and reported together. */
package org.lentilhinge.finding;
