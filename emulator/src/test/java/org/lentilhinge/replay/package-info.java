/** Tests of the replay against the performance targets. */
package org.lentilhinge.replay;
