/**
 * Distribution of the published configuration to the entry hosts. A few entry hosts of each
 * availability zone read and watch the platform's service, the others receive the configuration
 * from their peers, and no host ever returns to a lower version.
 */
package org.lentilhinge.follow;
