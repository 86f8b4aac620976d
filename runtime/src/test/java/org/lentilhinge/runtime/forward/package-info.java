/** Tests of the forwarding path over sockets. */
package org.lentilhinge.runtime.forward;
