/** Tests of the membership of the entry hosts. */
package org.lentilhinge.overlay;
