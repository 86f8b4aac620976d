/**
 * Runs a request in one or more attempts on endpoints: decides which chunks belong to the response,
 * when an attempt has failed, and whether another attempt follows.
 */
package org.lentilhinge.attempt;
