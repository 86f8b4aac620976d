/** Tests of the admission of requests. */
package org.lentilhinge.admission;
