/** Tests of the scheduling of engines. */
package org.lentilhinge.permit;
