/** Tests of the software versions of streams. */
package org.lentilhinge.resume;
