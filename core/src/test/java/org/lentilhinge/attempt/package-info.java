/** Tests of the attempts to run a request. */
package org.lentilhinge.attempt;
