/** Tests of the rules of the forwarding path. */
package org.lentilhinge.forward;
