/**
 * Checks of a published configuration before it is sent, and its changes against the former one.
 */
package org.lentilhinge.published.check;
