/** Which software version began a stream, so that it goes on only at that version. */
package org.lentilhinge.resume;
