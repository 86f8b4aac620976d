/** Tests of bookings. */
package org.lentilhinge.booking;
