/** Finds out whether a host has lost its own network paths to all endpoints. */
package org.lentilhinge.path;
