/** Tests of following what the platform publishes. */
package org.lentilhinge.published;
