/** The forwarding path: routes, declared kinds, and what may be done with one caller's request. */
package org.lentilhinge.forward;
