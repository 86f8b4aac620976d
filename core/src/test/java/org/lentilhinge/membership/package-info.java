/** Tests of the membership of entry hosts. */
package org.lentilhinge.membership;
