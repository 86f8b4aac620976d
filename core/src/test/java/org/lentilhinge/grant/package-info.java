/** Tests of ownership and grants, separately and together in a simulated network. */
package org.lentilhinge.grant;
