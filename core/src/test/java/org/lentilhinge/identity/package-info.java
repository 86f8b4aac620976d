/** Tests of the identifiers. */
package org.lentilhinge.identity;
