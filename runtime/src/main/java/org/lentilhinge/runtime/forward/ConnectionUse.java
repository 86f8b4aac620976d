package org.lentilhinge.runtime.forward;

/**
 * The course of one use of a connection to an endpoint, for the log.
 *
 * @param uses the number of requests that the connection has carried, including this one
 * @param ageMillis the time since the connection was opened, in milliseconds
 * @param identified whether the response certainly is the one to the request
 * @param foreignResponses the number of responses to other requests that were received and dropped
 */
record ConnectionUse(int uses, long ageMillis, boolean identified, int foreignResponses) {}
