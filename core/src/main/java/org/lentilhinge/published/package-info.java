/**
 * What the platform publishes in its store, and how the hosts of a zone follow it with few reads:
 * one of them reads and passes on the changes.
 */
package org.lentilhinge.published;
