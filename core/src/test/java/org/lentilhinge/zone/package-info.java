/** Tests of the package. */
package org.lentilhinge.zone;
