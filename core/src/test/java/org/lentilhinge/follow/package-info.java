/** Scenarios and measurements of following the published configuration, in virtual time. */
package org.lentilhinge.follow;
